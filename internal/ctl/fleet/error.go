package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxListedNodes is the maximum number of nodes that Error lists.
const maxListedNodes = 50

// Error reports that some nodes did not answer or are not in the wanted state.
type Error struct {
	// Failed maps the URL of a node to the failure.
	Failed map[string]string
	// Total is the number of nodes asked.
	Total int
}

// Error lists the failed nodes by URL, one per line.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d of %d nodes failed:", len(e.Failed), e.Total)
	for i, url := range slices.Sorted(maps.Keys(e.Failed)) {
		if i == maxListedNodes {
			fmt.Fprintf(&b, "\n  and %d more", len(e.Failed)-i)
			break
		}
		fmt.Fprintf(&b, "\n  %s: %s", url, e.Failed[url])
	}
	return b.String()
}
