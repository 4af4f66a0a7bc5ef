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

// maxDiscardBytes is the longest body that Discard reads so that the connection
// can be used again.
const maxDiscardBytes = 64 << 10

// Discard reads the body to its end, or closes the connection if the body is long
// or ends early. It returns a *BrokenError in the latter case.
func (r *Response) Discard() error {
	defer func() { _ = r.Body.Close() }()
	_, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardBytes))
	return err
}
