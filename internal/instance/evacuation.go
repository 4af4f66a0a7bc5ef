package instance

import "time"

// evacuation is an operator's request that the instances of a zone get no calls.
type evacuation struct {
	// era is the platform's era in which the zone's request was listed or removed last.
	era uint64
	// endsAt is when the evacuation ends because the platform, since its return from a
	// copy, does not list the request; zero while it does.
	endsAt time.Time
}
