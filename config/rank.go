package config

// Rank is a priority class of calls.
type Rank struct {
	// Name is unique in the document.
	Name string `json:"name"`
	// Order sorts ranks; 0 is the most urgent.
	Order int `json:"order"`
	// TargetMs is the latency that calls of this rank should meet, in
	// milliseconds from arrival to the complete response.
	TargetMs int64 `json:"targetMs"`
	// Worth is the relative value of a call that meets its target, compared
	// with calls of other ranks.
	Worth float64 `json:"worth"`
	// Floor is the share of an upstream's slots, from 0 to less than 1, that
	// is guaranteed to waiting calls of this rank when other ranks overload
	// the upstream.
	Floor float64 `json:"floor"`
}
