package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxErrorLines bounds the nodes in the text of an error.
const maxErrorLines = 50

// Error reports that some nodes did not answer or are not in the wanted state.
type Error struct {
	// Failed maps the URL of a node to what is wrong.
	Failed map[string]string
	// Total is the number of nodes asked.
	Total int
}

func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d of %d nodes:", len(e.Failed), e.Total)
	for i, url := range slices.Sorted(maps.Keys(e.Failed)) {
		if i == maxErrorLines {
			fmt.Fprintf(&b, "\n  and %d more", len(e.Failed)-i)
			break
		}
		fmt.Fprintf(&b, "\n  %s: %s", url, e.Failed[url])
	}
	return b.String()
}
