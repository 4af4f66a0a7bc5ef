package relay

import (
	"net/http"
	"strings"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/once"
)

// ResponseRecorder passes an answer on and keeps a copy. It goes on recording
// when the caller has left. It belongs to one goroutine.
type ResponseRecorder struct {
	http.ResponseWriter
	status   int
	header   map[string][]string
	body     []byte
	size     int
	writeErr error
}

// WriteHeader implements http.ResponseWriter.
func (r *ResponseRecorder) WriteHeader(status int) {
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
func (r *ResponseRecorder) Write(p []byte) (int, error) {
	r.size += len(p)
	if r.size <= once.MaxResponseBytes {
		r.body = append(r.body, p...)
	} else {
		r.body = nil
	}
	if r.writeErr == nil {
		_, r.writeErr = r.ResponseWriter.Write(p)
	}
	if r.writeErr != nil && r.size > once.MaxResponseBytes {
		return 0, r.writeErr
	}
	return len(p), nil
}

// Unwrap lets http.ResponseController reach the underlying writer.
func (r *ResponseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// Response returns the copy, or nil if the answer was too large to be kept.
func (r *ResponseRecorder) Response() *once.Response {
	if r.size > once.MaxResponseBytes {
		return nil
	}
	return &once.Response{Status: r.status, Header: r.header, Body: r.body}
}
