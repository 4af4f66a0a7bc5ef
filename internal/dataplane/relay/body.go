package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/filbertpier/filbertpier/internal/call"
)

// Body is a caller's request body. A body of up to maxReplayBytes, or below that if
// its length is not known in advance, is buffered and can be sent again. A larger
// one is streamed and can be sent again only if the stream has not been read from.
// It is safe for concurrent use.
type Body struct {
	// Buffered holds the first bytes of the body, up to maxReplayBytes.
	Buffered []byte
	// Complete is set if Buffered holds the whole body.
	Complete bool
	// remaining reads the part of the body after Buffered.
	remaining io.Reader
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// mu guards current.
	mu sync.Mutex
	// current is the stream of the last attempt, or nil.
	current *bodyStream
}

// BufferSize returns how many bytes ReadBody allocates for a request's body.
func BufferSize(r *http.Request) int64 {
	if r.ContentLength >= 0 {
		return min(r.ContentLength, maxReplayBytes)
	}
	return maxReplayBytes
}

// ReadBody reads up to maxReplayBytes of a request's body into the buffer. Errors
// are of type *call.Problem.
func ReadBody(r *http.Request) (*Body, error) {
	if r.ContentLength == 0 {
		return &Body{Complete: true}, nil
	}
	head := make([]byte, BufferSize(r))
	n, err := io.ReadFull(r.Body, head)
	b := &Body{Buffered: head[:n], remaining: r.Body, Length: r.ContentLength}
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && r.ContentLength < 0:
		b.Complete = true
	case err != nil:
		return nil, call.NewProblem(call.ProblemBadRequest, call.RanNo, "the request body ended early", err)
	case r.ContentLength >= 0:
		b.Complete = int64(n) == r.ContentLength
	}
	if b.Complete {
		b.Length = int64(n)
	}
	return b, nil
}

// WrapRemaining replaces the reader of the part that is not buffered. It must be
// called before Attach.
func (b *Body) WrapRemaining(wrap func(io.Reader) io.Reader) { b.remaining = wrap(b.remaining) }

// Attach sets the body of an outgoing request, from its beginning. Before each
// attempt but the first, Rewind must have returned true.
func (b *Body) Attach(out *http.Request) {
	if b.Complete && len(b.Buffered) == 0 {
		out.Body = http.NoBody
		return
	}
	if b.Complete {
		out.ContentLength = int64(len(b.Buffered))
		out.Body = io.NopCloser(bytes.NewReader(b.Buffered))
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &bodyStream{src: io.MultiReader(bytes.NewReader(b.Buffered), b.remaining)}
	out.ContentLength, out.Body = b.Length, b.current
}

// Rewind reports whether the body can be sent again from its beginning. If so, the
// stream of the last attempt is closed, so that its transport reads no more of the
// caller's body.
func (b *Body) Rewind() bool {
	if b.Complete {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current == nil || b.current.revoke()
}
