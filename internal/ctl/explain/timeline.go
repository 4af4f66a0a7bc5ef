package explain

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// contextWindow is how far before the first line of a request the timeline
// includes events of the request's instances.
const contextWindow = 5 * time.Second

// Timeline holds the log lines about one request. It implements ctl.Result.
type Timeline struct {
	ID string `json:"id"`
	// Lines are the decisions about the request and the calls made on its
	// behalf, sorted by time.
	Lines []Line `json:"lines"`
	// Context holds other events of the instances that Lines name, from
	// contextWindow before the first line to the last line, sorted by time.
	Context []Line `json:"context"`
}

// Text writes the context and then the lines, each under a title.
func (s *Timeline) Text(w io.Writer) error {
	for _, part := range []struct {
		title string
		lines []Line
	}{{"events of its instances:", s.Context}, {"request " + s.ID + ":", s.Lines}} {
		if len(part.lines) == 0 {
			continue
		}
		if _, err := fmt.Fprintln(w, part.title); err != nil {
			return err
		}
		for _, l := range part.lines {
			if _, err := fmt.Fprintln(w, "  "+l.String()); err != nil {
				return err
			}
		}
	}
	return nil
}

// newTimeline selects the lines and the context of a request. It returns an
// *UnknownIDError if no line is about the request.
func newTimeline(id string, all []Line) (*Timeline, error) {
	s := &Timeline{ID: id, Lines: []Line{}, Context: []Line{}}
	instances := map[string]bool{}
	for _, l := range all {
		if !l.belongsTo(id) {
			continue
		}
		s.Lines = append(s.Lines, l)
		if instance, ok := l.Fields["instance"].(string); ok {
			instances[instance] = true
		}
	}
	if len(s.Lines) == 0 {
		return nil, &UnknownIDError{ID: id, DroppedLines: countDroppedLines(all)}
	}
	sortByTime(s.Lines)
	from, to := s.Lines[0].At.Add(-contextWindow), s.Lines[len(s.Lines)-1].At
	for _, l := range all {
		instance, _ := l.Fields["instance"].(string)
		if _, isCall := l.Fields["id"]; isCall || !instances[instance] || l.At.Before(from) || l.At.After(to) {
			continue
		}
		s.Context = append(s.Context, l)
	}
	sortByTime(s.Context)
	return s, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// countDroppedLines adds up the dropped lines that the nodes reported.
func countDroppedLines(all []Line) int {
	sum := 0
	for _, l := range all {
		if n, ok := l.Fields["count"].(float64); ok && l.Message == "log lines left out" {
			sum += int(n)
		}
	}
	return sum
}
