package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is a decoded log line of a node.
type Line struct {
	At time.Time `json:"at"`
	// Source is the name of the log file, followed by the text that precedes the
	// JSON object on the line, such as a time and a VM id.
	Source string `json:"source"`
	// Message is the name of the logged decision or event.
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// String formats the line as text, with the fields sorted by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.At.UTC().Format("15:04:05.000"), l.Source, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, "  %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// belongsTo reports whether the line is about the request or a call made on its
// behalf. The id of such a call is the request's id, a dot and a suffix.
func (l Line) belongsTo(id string) bool {
	text, ok := l.Fields["id"].(string)
	return ok && (text == id || strings.HasPrefix(text, id+"."))
}
