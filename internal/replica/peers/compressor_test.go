package peers

import (
	"bytes"
	"testing"

	"github.com/filbertpier/filbertpier/internal/replica"
	"github.com/filbertpier/filbertpier/internal/revision"
)

// Guards against passing a value of a lost era on to other nodes in place of the one
// that the platform wrote under the same revision number after its return from a copy.
func TestCompressedValueIsOfTheItemsEra(t *testing.T) {
	c, err := newCompressor()
	if err != nil {
		t.Fatal(err)
	}
	var d decompressor
	for era := range uint64(3) {
		want := bytes.Repeat([]byte{byte('a' + era)}, 2*minCompressBytes)
		for range 2 {
			item := c.compress(replica.Item{Key: "config", Value: want, Revision: revision.Revision{Era: era, Number: 7}})
			if got, err := d.decompressValue(&item); err != nil || !bytes.Equal(got, want) {
				t.Errorf("in era %d the value was sent as %.10q with error %v, want %.10q", era, got, err, want)
			}
		}
	}
}
