package coldstart

import (
	"errors"
	"testing"

	"github.com/filbertpier/filbertpier/internal/testkit/brokenhead"
)

// Guards against a health response with a broken head that is believed.
func TestBrokenHeadTellsNothing(t *testing.T) {
	for name, text := range brokenhead.All("Cold: 1500\r\n", "body") {
		t.Run(name, func(t *testing.T) {
			client := NewHealthClient(brokenhead.Listen(t, "127.0.0.1:0", "Id", text), "", "Cold")
			defer client.Close()
			got, err := client.Probe(t.Context(), "/health")
			var probe *ProbeError
			if !errors.As(err, &probe) {
				t.Errorf("got %s and error %v, want a *ProbeError", got, err)
			}
		})
	}
}
