package httpconn

import (
	"io"

	"github.com/filbertpier/filbertpier/internal/responsehead"
)

// headLimiter bounds how much is read from a connection while the head of a
// response is awaited, and searches the head for folded lines. It is used by one
// goroutine at a time.
type headLimiter struct {
	r io.Reader
	// left is the number of bytes that may still be read while limited is set.
	left    int
	limited bool
	// scanner sees all that is read.
	scanner responsehead.Scanner
}

// limit bounds the following reads to n bytes in total.
func (l *headLimiter) limit(n int) { l.left, l.limited = n, true }

// unlimit removes the bound.
func (l *headLimiter) unlimit() { l.limited = false }

// Read implements io.Reader. It returns a *HeadTooLargeError once the bound is
// reached.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.limited && l.left <= 0 {
		return 0, &HeadTooLargeError{}
	}
	if l.limited {
		p = p[:min(len(p), l.left)]
	}
	n, err := l.r.Read(p)
	l.left -= n
	l.scanner.Scan(p[:n])
	return n, err
}
