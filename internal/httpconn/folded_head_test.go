package httpconn

import (
	"errors"
	"testing"

	"github.com/filbertpier/filbertpier/internal/responsehead"
)

// Guards against a folded line that is missed because its head stands behind other
// responses on the connection, whose bytes were read together with it, and against taking
// a line of a body for one.
func TestFoldedHeadBehindOtherResponsesIsBroken(t *testing.T) {
	const (
		folded  = "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n X: 1\r\nContent-Length: 2\r\n\r\nok"
		earlier = "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 13\r\n\r\n\r\n\r\n a: 1\r\n\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	)
	cases := map[string]struct {
		response string
		broken   bool
	}{
		"first response":          {folded, true},
		"after an earlier one":    {earlier + folded, true},
		"after an interim one":    {interim + folded, true},
		"in an interim one":       {"HTTP/1.1 103 Early Hints\r\nA: b\r\n X: 1\r\n\r\n" + okResponse, true},
		"sound, after an earlier": {earlier + okResponse, false},
		"sound, after an interim": {interim + okResponse, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPool()
			defer p.Close()
			body, err := send(p, startServer(t, []string{c.response}), "1")
			var broken *BrokenError
			if c.broken && (!errors.As(err, &broken) || !responsehead.IsInvalid(err)) {
				t.Errorf("got body %q and error %v, want a *BrokenError for an invalid head", body, err)
			}
			if !c.broken && (err != nil || body != "ok") {
				t.Errorf("got body %q and error %v, want the response", body, err)
			}
		})
	}
}
