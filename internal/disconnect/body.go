package disconnect

import "io"

// body reads the remainder of a request body and pauses the watch meanwhile.
type body struct {
	watch *Watch
	r     io.Reader
}

// Read implements io.Reader. After an error the watch does not resume: at the end of
// the body, and after a failed read, the HTTP server watches the connection itself.
func (b *body) Read(p []byte) (int, error) {
	b.watch.pause()
	n, err := b.r.Read(p)
	if err == nil {
		b.watch.resume()
	}
	return n, err
}
