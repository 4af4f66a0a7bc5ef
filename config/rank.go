package config

// Rank is a class of calls with its own target and worth.
type Rank struct {
	// Name is unique in the document.
	Name string `json:"name"`
	// Order sorts ranks; 0 is the most urgent.
	Order int `json:"order"`
	// TargetMs is the latency that calls of this rank should meet, in
	// milliseconds from entry to the complete answer.
	TargetMs int64 `json:"targetMs"`
	// Worth weighs a call served within its target against other ranks.
	Worth float64 `json:"worth"`
	// Floor is the share of an upstream's slots, 0 to 1, that calls of this
	// rank get during a flood of other ranks when they have work.
	Floor float64 `json:"floor"`
}
