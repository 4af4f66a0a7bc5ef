package replica

// Gap is a range of revision numbers of one era, without its bounds, that a table
// skipped with a complete list. The table lacks deletions in it of keys that it did not hold.
type Gap struct {
	After uint64 `json:"after"`
	Until uint64 `json:"until"`
}

// contains reports whether a copy at a revision may hold keys whose deletions a
// table with this gap lacks. A copy at After or below holds only keys whose
// deletions the table knows.
func (g Gap) contains(revision uint64) bool { return g.After < revision && revision < g.Until }
