package admin

import "fmt"

// Health tells whether a node works as it should. A restart mends none of the
// reasons, so that /healthz answers 204 in any case while the process answers.
type Health struct {
	Healthy bool     `json:"healthy"`
	Reasons []string `json:"reasons"`
}

// stalePlatformMs is the age of the last platform read, by any node, from which
// the platform counts as not reachable. Readers watch for up to 20 s.
const stalePlatformMs = 60_000

func healthOf(s Status, refused []RefusedVersion) Health {
	h := Health{Reasons: []string{}}
	if s.Violations > 0 {
		h.Reasons = append(h.Reasons, fmt.Sprintf("%d broken invariants; see the metric filbertpier_invariant_violations_total", s.Violations))
	}
	if s.PlatformAgeMs < 0 {
		h.Reasons = append(h.Reasons, "no node known here has read the platform")
	} else if s.PlatformAgeMs > stalePlatformMs {
		h.Reasons = append(h.Reasons, fmt.Sprintf("the last platform read by any node was %d s ago", s.PlatformAgeMs/1000))
	}
	for _, r := range refused {
		if s.Version.Less(r.ID) {
			h.Reasons = append(h.Reasons, fmt.Sprintf("version %d is newer than the one in force and refused", r.ID.Version))
		}
	}
	h.Healthy = len(h.Reasons) == 0
	return h
}
