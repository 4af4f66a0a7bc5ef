package uplink

import (
	"context"
	"io"
)

// pacedWriter writes the body of one response through its transfer.
type pacedWriter struct {
	ctx      context.Context
	transfer *Transfer
	w        io.Writer
}

// Write implements io.Writer. On an error of the context or of the underlying
// writer it returns 0, even if some bytes were written.
func (p *pacedWriter) Write(b []byte) (int, error) {
	if err := p.transfer.Write(p.ctx, p.w, b); err != nil {
		return 0, err
	}
	return len(b), nil
}
