package spread_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/filbertpier/filbertpier/internal/spread"
)

// Guards against a pooled encoder that keeps the dictionary or the window of
// its previous use.
func TestReusedEncoderRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 400 {
		base := make([]byte, rng.IntN(1<<rng.IntN(18)+1))
		for j := range base {
			base[j] = byte('a' + rng.IntN(4))
		}
		data := append(bytes.Clone(base[:rng.IntN(len(base)+1)]), base...)
		if rng.IntN(3) == 0 {
			base = nil
		}
		frame, err := spread.EncodeDelta(base, data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := spread.DecodeDelta(base, frame)
		if err != nil || !bytes.Equal(got, data) {
			t.Fatalf("case %d, base of %d bytes: round trip of %d bytes failed or changed the content: %v", i, len(base), len(data), err)
		}
	}
}
