package fleet_test

import (
	"errors"
	"testing"

	"github.com/filbertpier/filbertpier/internal/ctl/fleet"
	"github.com/filbertpier/filbertpier/internal/testkit/brokenhead"
)

// Guards against a response of a node with a broken head that fpctl prints as its status.
func TestBrokenHeadOfANodeIsAFailure(t *testing.T) {
	for name, text := range brokenhead.All("Content-Type: application/json\r\n", `{"vm":"a"}`) {
		t.Run(name, func(t *testing.T) {
			c := fleet.NewClient([]string{"http://" + brokenhead.Listen(t, "127.0.0.1:0", "Id", text)}, fleet.DefaultTimeout)
			list, err := c.Status(t.Context())
			var failed *fleet.Error
			if !errors.As(err, &failed) || len(failed.Failed) != 1 {
				t.Errorf("got %+v and error %v, want a *fleet.Error", list, err)
			}
		})
	}
}
