package httpconn

import (
	"io"
	"net/http"
)

// Response is the head of an answer. Body must be closed; if it was read to
// its end before, the connection is kept.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body; -1 if unknown.
	Length int64
	Body   io.ReadCloser
}
