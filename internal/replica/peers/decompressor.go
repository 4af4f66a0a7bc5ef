package peers

import (
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"

	"github.com/filbertpier/filbertpier/internal/replica"
	"github.com/filbertpier/filbertpier/internal/revision"
)

// decompressor decompresses values. Its zero value is ready to use; it is safe
// for concurrent use.
type decompressor struct {
	once    sync.Once
	decoder *zstd.Decoder
	initErr error
}

// decompressPage converts a wirePage and decompresses its values. It returns a
// *CodecError.
func (d *decompressor) decompressPage(p *wirePage) (replica.Page, error) {
	out := replica.Page{Complete: p.Complete, Gaps: p.Gaps, Revision: revision.Revision{Era: p.Era, Number: p.Revision}, Fresh: p.Fresh,
		Confirmation: p.Confirmation, ConfirmedAge: time.Duration(p.AgeMs) * time.Millisecond}
	for _, i := range p.Items {
		value, err := d.decompressValue(&i)
		if err != nil {
			return replica.Page{}, &CodecError{Key: i.Key, Err: err}
		}
		out.Items = append(out.Items, replica.Item{Key: i.Key, Value: value, Revision: revision.Revision{Era: p.Era, Number: i.Revision}, Deleted: i.Deleted})
	}
	return out, nil
}

func (d *decompressor) decompressValue(i *wireItem) ([]byte, error) {
	if !i.Compressed {
		return i.Value, nil
	}
	d.once.Do(func() {
		d.decoder, d.initErr = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedBytes), zstd.WithDecoderLowmem(true))
	})
	if d.initErr != nil {
		return nil, d.initErr
	}
	return d.decoder.DecodeAll(i.Value, nil)
}
