package compare

import "strings"

// Change is one difference between two versions of a document.
type Change struct {
	// Kind is section, rank, service, route or retry policy.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Action is added, removed or changed.
	Action string `json:"action"`
	// Fields lists what changed, as "field: old -> new".
	Fields []string `json:"fields,omitempty"`
}

// Values of Change.Action.
const (
	ActionAdded   = "added"
	ActionRemoved = "removed"
	ActionChanged = "changed"
)

// String formats the change as one line of text.
func (c Change) String() string {
	text := c.Action + " " + c.Kind + " " + c.Name
	if len(c.Fields) > 0 {
		text += " (" + strings.Join(c.Fields, ", ") + ")"
	}
	return text
}
