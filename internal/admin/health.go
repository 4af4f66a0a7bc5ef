package admin

import "fmt"

// Health reports whether a node has detected problems. A restart would fix none
// of them, so /healthz returns 204 regardless while the process responds.
type Health struct {
	Healthy bool     `json:"healthy"`
	Reasons []string `json:"reasons"`
}

// maxPlatformAgeMs is the age of the last platform read, by any node, above which
// the platform counts as unreachable. It exceeds both the 2 s that a reader's watch
// waits for a change and the 20 s over which nodes without peers spread their reads.
const maxPlatformAgeMs = 60_000

func healthOf(s Status, refused []RefusedVersion) Health {
	h := Health{Reasons: []string{}}
	if s.Violations > 0 {
		h.Reasons = append(h.Reasons, fmt.Sprintf("%d invariant violations; see the metric filbertpier_invariant_violations_total", s.Violations))
	}
	if s.PlatformAgeMs < 0 {
		h.Reasons = append(h.Reasons, "no known node has read the configuration platform")
	} else if s.PlatformAgeMs > maxPlatformAgeMs {
		h.Reasons = append(h.Reasons, fmt.Sprintf("the last read of the configuration platform by any node was %d s ago", s.PlatformAgeMs/1000))
	}
	for _, r := range refused {
		if s.Version.Less(r.ID) {
			h.Reasons = append(h.Reasons, fmt.Sprintf("version %d was refused although it is newer than the version in force", r.ID.Version))
		}
	}
	h.Healthy = len(h.Reasons) == 0
	return h
}
