package config

// SplitPart is one service of a route whose calls are distributed by weight.
type SplitPart struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is the service's share relative to the other parts.
	Weight float64 `json:"weight"`
}
