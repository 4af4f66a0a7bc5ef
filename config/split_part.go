package config

// SplitPart is one of the services among which a route distributes its calls.
type SplitPart struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is the service's share relative to the other parts.
	Weight float64 `json:"weight"`
}
