package relay

import (
	"net/http"
	"strings"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/once"
)

// ResponseRecorder writes a response to the caller and keeps a copy. It continues
// to record after the caller has disconnected. It is not safe for concurrent use.
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

// Write implements http.ResponseWriter. WriteHeader must have been called. Write
// fails only if the caller has disconnected and the response is too large to keep.
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

// Response returns the copy, or nil if the response was too large to keep.
func (r *ResponseRecorder) Response() *once.Response {
	if r.size > once.MaxResponseBytes {
		return nil
	}
	return &once.Response{Status: r.status, Header: r.header, Body: r.body}
}
