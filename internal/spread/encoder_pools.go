package spread

import (
	"sync"

	"github.com/klauspost/compress/zstd"
)

// encoderPools keeps idle encoders, whose tables of up to 2.7 MB cost more to
// allocate than a section costs to encode. The zero value is ready to use.
type encoderPools struct {
	// byKey maps an encoderKey to a *sync.Pool of *zstd.Encoder.
	byKey sync.Map
}

func (p *encoderPools) pool(k encoderKey) *sync.Pool {
	pool, _ := p.byKey.LoadOrStore(k, &sync.Pool{})
	return pool.(*sync.Pool)
}

// get returns an encoder that uses base as dictionary if it is not empty.
func (p *encoderPools) get(k encoderKey, base []byte) (*zstd.Encoder, error) {
	var dictOpts []zstd.EOption
	if k.dict {
		dictOpts = append(dictOpts, zstd.WithEncoderDictRaw(deltaDictID, base))
	}
	if enc, ok := p.pool(k).Get().(*zstd.Encoder); ok {
		return enc, enc.ResetWithOptions(nil, dictOpts...)
	}
	level := zstd.SpeedDefault
	if k.fastest {
		level = zstd.SpeedFastest
	}
	opts := append(dictOpts, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(level),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(k.window))
	return zstd.NewWriter(nil, opts...)
}

func (p *encoderPools) put(k encoderKey, enc *zstd.Encoder) { p.pool(k).Put(enc) }
