package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one log line that concerns the request.
type Line struct {
	At time.Time `json:"at"`
	// Source is the file, and what stands before the line in it.
	Source string `json:"source"`
	// Message names the decision or the event.
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// String returns the line for people, with the fields in order of their names.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.At.UTC().Format("15:04:05.000"), l.Source, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, "  %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// concerns reports whether the line names the request or a call that was made
// while it ran, whose id extends that of the request.
func (l Line) concerns(id string) bool {
	text, ok := l.Fields["id"].(string)
	return ok && (text == id || strings.HasPrefix(text, id+"."))
}
