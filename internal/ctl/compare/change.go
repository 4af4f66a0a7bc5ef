package compare

import "strings"

// Change is one difference between two versions.
type Change struct {
	// Kind is section, rank, service, route or retry policy.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Action is added, removed or changed.
	Action string `json:"action"`
	// Fields lists what changed, as "field: old -> new".
	Fields []string `json:"fields,omitempty"`
}

// Actions of a Change.
const (
	ActionAdded   = "added"
	ActionRemoved = "removed"
	ActionChanged = "changed"
)

// String returns the change in one line.
func (c Change) String() string {
	line := c.Action + " " + c.Kind + " " + c.Name
	if len(c.Fields) > 0 {
		line += " (" + strings.Join(c.Fields, ", ") + ")"
	}
	return line
}
