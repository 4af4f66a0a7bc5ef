package relay

import "sync"

// BufferPool reuses the buffers that bodies are copied through.
type BufferPool struct {
	pool *sync.Pool
}

// NewBufferPool returns an empty pool.
func NewBufferPool() BufferPool {
	return BufferPool{pool: &sync.Pool{New: func() any {
		b := make([]byte, copyBufferBytes)
		return &b
	}}}
}

// Get returns a buffer of copyBufferBytes. The caller returns it with Put.
func (p BufferPool) Get() *[]byte { return p.pool.Get().(*[]byte) }

// Put returns a buffer to the pool.
func (p BufferPool) Put(b *[]byte) { p.pool.Put(b) }
