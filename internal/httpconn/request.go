package httpconn

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
)

// Request holds a request and as much of its body as is buffered.
type Request struct {
	Method string
	// Target is the request target: the path with the query.
	Target string
	Host   string
	// Header is sent as it is. It must not contain Host, Content-Length or
	// Transfer-Encoding, which are derived from the other fields.
	Header http.Header
	// ID is the id that the server echoes in Options.EchoHeader. It is not sent
	// unless Header contains it. If it is empty, the echo is not checked.
	ID string
	// Body is the whole body, or its beginning if BodyTail is set.
	Body []byte
	// BodyTail is the remainder of a body that is too large to buffer.
	BodyTail io.Reader
	// Length is the length of the whole body; -1 if unknown.
	Length int64
	// ExpectContinue holds the body back until the server asks for it with an
	// interim response (100). A server that answers without asking gets no body, and
	// the connection is closed.
	ExpectContinue bool
}

// appendHead appends the request line and the header to b.
func (r *Request) appendHead(b []byte) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if r.ExpectContinue {
		b = append(b, "Expect: 100-continue\r\n"...)
	}
	switch {
	case r.Length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case r.Length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, r.Length, 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// bodyBuffered reports whether Body holds the whole body.
func (r *Request) bodyBuffered() bool { return r.BodyTail == nil }

// bodyReader returns a reader of the whole body.
func (r *Request) bodyReader() io.Reader {
	if r.bodyBuffered() {
		return bytes.NewReader(r.Body)
	}
	return io.MultiReader(bytes.NewReader(r.Body), r.BodyTail)
}
