package admin

// RankFloor is the share of slots that a rank keeps during a flood of others.
type RankFloor struct {
	Rank  string  `json:"rank"`
	Order int     `json:"order"`
	Floor float64 `json:"floor"`
}
