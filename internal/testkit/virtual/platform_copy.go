package virtual

import "maps"

// PlatformCopy is a copy of a platform's values, from which it can return.
type PlatformCopy struct {
	values   map[string][]revision
	revision uint64
}

// Copy returns a copy of the published values.
func (p *Platform) Copy() PlatformCopy {
	return PlatformCopy{values: maps.Clone(p.values), revision: p.revision}
}

// Restore returns from a copy: later values are lost, and their revisions are given out
// again. Watches that wait go on to wait.
func (p *Platform) Restore(c PlatformCopy) { p.values, p.revision = maps.Clone(c.values), c.revision }
