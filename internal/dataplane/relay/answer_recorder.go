package relay

import (
	"net/http"
	"strings"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/once"
)

// AnswerRecorder passes an answer on and keeps a copy. It goes on recording
// when the caller has left. It belongs to one goroutine.
type AnswerRecorder struct {
	http.ResponseWriter
	status  int
	header  map[string][]string
	body    []byte
	size    int
	writeTo error
}

// WriteHeader implements http.ResponseWriter.
func (r *AnswerRecorder) WriteHeader(status int) {
	r.status = status
	r.header = map[string][]string{}
	for name, values := range r.Header() {
		if !strings.HasPrefix(name, call.HeaderPrefix) {
			r.header[name] = append([]string(nil), values...)
		}
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It fails only if nothing is left to do:
// the caller has left and the answer is too large to be kept.
func (r *AnswerRecorder) Write(p []byte) (int, error) {
	r.size += len(p)
	if r.size <= once.MaxAnswerBytes {
		r.body = append(r.body, p...)
	} else {
		r.body = nil
	}
	if r.writeTo == nil {
		_, r.writeTo = r.ResponseWriter.Write(p)
	}
	if r.writeTo != nil && r.size > once.MaxAnswerBytes {
		return 0, r.writeTo
	}
	return len(p), nil
}

// Unwrap lets http.ResponseController reach the underlying writer.
func (r *AnswerRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// Answer returns the copy, or nil if the answer was too large to be kept.
func (r *AnswerRecorder) Answer() *once.Answer {
	if r.size > once.MaxAnswerBytes {
		return nil
	}
	return &once.Answer{Status: r.status, Header: r.header, Body: r.body}
}
