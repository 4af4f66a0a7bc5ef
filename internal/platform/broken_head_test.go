package platform

import (
	"errors"
	"testing"

	"github.com/filbertpier/filbertpier/internal/testkit/brokenhead"
)

// Guards against a response of the platform with a broken head that is taken for a value.
func TestBrokenHeadOfThePlatformIsALostRead(t *testing.T) {
	for name, text := range brokenhead.All(RevisionHeader+": 7\r\n", `{"vms":[]}`) {
		t.Run(name, func(t *testing.T) {
			client := NewHTTPClient("http://" + brokenhead.Listen(t, "127.0.0.1:0", "Id", text))
			var unavailable *UnavailableError
			if value, err := client.Get(t.Context(), "manifest"); !errors.As(err, &unavailable) {
				t.Errorf("the read returned %+v and error %v, want an *UnavailableError", value, err)
			}
			if list, err := client.WatchVMs(t.Context(), 0, 0); !errors.As(err, &unavailable) {
				t.Errorf("the watch of VMs returned %+v and error %v, want an *UnavailableError", list, err)
			}
		})
	}
}
