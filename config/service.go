package config

// Service is a set of upstreams that serve the same routes.
type Service struct {
	// Name is unique in the document.
	Name string `json:"name"`
	// Selector is the service label of the VMs whose upstreams belong to this
	// service.
	Selector string `json:"selector"`
	// Slots is the number of calls that one upstream runs concurrently. It is
	// zero if SlotsAnnounced is set.
	Slots int `json:"slots"`
	// SlotsAnnounced is set if each upstream announces its own slots.
	SlotsAnnounced bool `json:"slotsAnnounced,omitempty"`
	// HealthPath is the path of the upstreams' health endpoint; empty if they
	// have none.
	HealthPath string `json:"healthPath,omitempty"`
	// Connections is the number of connections that one upstream accepts.
	Connections int `json:"connections"`
	// ColdCallsPerSecond is the number of calls per second that an upstream takes
	// while it is cold, after a start or a long pause; zero if it takes any number.
	// Only fpsidecar applies it.
	ColdCallsPerSecond float64 `json:"coldCallsPerSecond,omitempty"`
	// ColdStartMs is how long in milliseconds an upstream is cold after its start. It
	// applies until the upstream itself says how long it remains cold.
	ColdStartMs int64 `json:"coldStartMs,omitempty"`
}
