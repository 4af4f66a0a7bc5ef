package member

// RankKey identifies the rank of a VM in the rendezvous order of its region for
// a seed.
type RankKey struct {
	VM   string
	Seed uint64
}
