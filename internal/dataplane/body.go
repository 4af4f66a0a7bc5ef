package dataplane

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/filbertpier/filbertpier/internal/call"
)

// body is a caller's request body. A body of up to replayBytes is kept and can
// be sent again; a larger one is streamed and can be sent again only while no
// byte of it has been read. It is safe for concurrent use.
type body struct {
	head []byte
	// whole is set if head is the complete body.
	whole  bool
	rest   io.Reader
	length int64
	// mu guards current.
	mu      sync.Mutex
	current *bodyStream
}

// readBody reads the first replayBytes of a request's body. It returns a
// *call.Problem.
func readBody(r *http.Request) (*body, error) {
	if r.ContentLength == 0 {
		return &body{whole: true}, nil
	}
	size := int64(replayBytes)
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength)
	}
	head := make([]byte, size)
	n, err := io.ReadFull(r.Body, head)
	b := &body{head: head[:n], rest: r.Body, length: r.ContentLength}
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && r.ContentLength < 0:
		b.whole = true
	case err != nil:
		return nil, call.NewProblem(call.ProblemBadRequest, call.RanNo, "the request body ended early", err)
	case r.ContentLength >= 0:
		b.whole = int64(n) == r.ContentLength
	}
	if b.whole {
		b.length = int64(n)
	}
	return b, nil
}

// attach sets the body of an outgoing request.
func (b *body) attach(out *http.Request) {
	if b.whole && len(b.head) == 0 {
		out.Body = http.NoBody
		return
	}
	if b.whole {
		out.ContentLength = int64(len(b.head))
		out.Body = io.NopCloser(bytes.NewReader(b.head))
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &bodyStream{src: io.MultiReader(bytes.NewReader(b.head), b.rest)}
	out.ContentLength, out.Body = b.length, b.current
}

// rewind reports whether the body can be sent again from its beginning. The
// reader of the earlier attempt then gets no more data.
func (b *body) rewind() bool {
	if b.whole {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current == nil || b.current.revoke()
}
