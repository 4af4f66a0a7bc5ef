package member

// RankKey names a rank that a View remembers.
type RankKey struct {
	VM   string
	Seed uint64
}
