package fleet

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/internal/standin/platformserver"
)

// PlatformRegion returns the region that hosts the platform.
func (f *Fleet) PlatformRegion() string { return f.spec.PlatformRegion }

// SetPlatformStaleness makes published values visible on the platform stand-in
// only after d.
func (f *Fleet) SetPlatformStaleness(d time.Duration) error {
	raw, err := json.Marshal(platformserver.Faults{StaleMs: d.Milliseconds()})
	if err != nil {
		return &LaunchError{Process: "platform faults", Err: err}
	}
	return put(f.PlatformURL()+"/control/faults", raw)
}

// MaxPlatformCallsPerSecond returns the highest number of reader calls that the
// platform stand-in received in one second since its start.
func (f *Fleet) MaxPlatformCallsPerSecond() (uint64, error) {
	resp, err := http.Get(f.PlatformURL() + "/control/stats")
	if err != nil {
		return 0, &LaunchError{Process: "platform stats", Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var s platformserver.Stats
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return 0, &LaunchError{Process: "platform stats", Err: err}
	}
	return s.MaxReadsPerSecond, nil
}
