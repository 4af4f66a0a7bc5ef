package admin

// RankFloor is the share of slots that a rank is guaranteed when calls of other
// ranks overload the upstream.
type RankFloor struct {
	Rank  string  `json:"rank"`
	Order int     `json:"order"`
	Floor float64 `json:"floor"`
}
