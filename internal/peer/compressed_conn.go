package peer

import (
	"net"

	"github.com/klauspost/compress/zstd"
)

// compressedConn compresses writes as one zstd stream that is flushed after each
// write. Messages compress well against earlier ones, since heartbeats differ in
// a few bytes only. Reads are not decompressed. Only connections between
// regions, where traffic is charged by volume, are compressed: an encoder takes
// a few hundred kilobytes of memory.
type compressedConn struct {
	net.Conn
	enc *zstd.Encoder
}

// newCompressedConn returns a *CompressionError if the encoder cannot be set up.
func newCompressedConn(conn net.Conn) (*compressedConn, error) {
	enc, err := zstd.NewWriter(conn, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(streamWindowBytes), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
	if err != nil {
		return nil, &CompressionError{Err: err}
	}
	return &compressedConn{Conn: conn, enc: enc}, nil
}

// Write implements net.Conn. The JSON-RPC stream on top serialises writes.
func (c *compressedConn) Write(b []byte) (int, error) {
	n, err := c.enc.Write(b)
	if err != nil {
		return n, err
	}
	return n, c.enc.Flush()
}
