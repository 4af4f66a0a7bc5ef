package mesh

import "io"

// minBodyBuffer is the first size of the buffer of a body.
const minBodyBuffer = 4 << 10

// readCharged reads up to limit bytes, for which expected is the announced length or -1.
// charge is called with the size of the buffer before it is allocated and whenever it
// grows. If it fails, readCharged returns what was read so far together with its error.
func readCharged(r io.Reader, expected int64, limit int, charge func(n int64) error) ([]byte, error) {
	if expected >= 0 {
		// One byte more than announced, to see the end of the body.
		limit = int(min(int64(limit), expected+1))
	}
	var buffer []byte
	for len(buffer) < limit {
		if len(buffer) == cap(buffer) {
			size := min(max(2*cap(buffer), minBodyBuffer), limit)
			if err := charge(int64(size - cap(buffer))); err != nil {
				return buffer, err
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
	return buffer, nil
}
