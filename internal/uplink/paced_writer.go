package uplink

import (
	"context"
	"io"
)

// pacedWriter sends what it is given in turns. It lives for one answer.
type pacedWriter struct {
	ctx      context.Context
	transfer *Transfer
	w        io.Writer
}

// Write returns the error of the context or of the underlying writer.
func (p *pacedWriter) Write(b []byte) (int, error) {
	if err := p.transfer.Write(p.ctx, p.w, b); err != nil {
		return 0, err
	}
	return len(b), nil
}
