package member

// RankKey identifies a rank that a View caches.
type RankKey struct {
	VM   string
	Seed uint64
}
