package httpconn

import (
	"io"
	"net/http"
)

// Response is a response whose header was read. Body must be closed; if it was
// read to its end first, the connection returns to the pool.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body; -1 if unknown.
	Length int64
	Body   io.ReadCloser
}
