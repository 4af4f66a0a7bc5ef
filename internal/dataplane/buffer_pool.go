package dataplane

import "sync"

// bufferPool reuses the buffers that bodies are copied through.
type bufferPool struct {
	pool *sync.Pool
}

func newBufferPool() bufferPool {
	return bufferPool{pool: &sync.Pool{New: func() any {
		b := make([]byte, copyBufferBytes)
		return &b
	}}}
}

func (p bufferPool) get() *[]byte { return p.pool.Get().(*[]byte) }

func (p bufferPool) put(b *[]byte) { p.pool.Put(b) }
