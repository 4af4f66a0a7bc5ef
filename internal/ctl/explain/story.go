package explain

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// contextTime is how long before the request events of the instances that it
// met are told.
const contextTime = 5 * time.Second

// Story is what the logs tell about one request. It implements ctl.Result.
type Story struct {
	ID string `json:"id"`
	// Lines are the decisions about the request and about the calls that it
	// caused, in order.
	Lines []Line `json:"lines"`
	// Context holds earlier events of the instances that the request met.
	Context []Line `json:"context"`
}

// Text implements ctl.Result.
func (s *Story) Text(w io.Writer) error {
	for _, part := range []struct {
		title string
		lines []Line
	}{{"before it:", s.Context}, {"the request " + s.ID + ":", s.Lines}} {
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

// tell selects the lines of a request. It returns an *UnknownIDError.
func tell(id string, all []Line) (*Story, error) {
	s := &Story{ID: id, Lines: []Line{}, Context: []Line{}}
	met := map[string]bool{}
	for _, l := range all {
		if !l.concerns(id) {
			continue
		}
		s.Lines = append(s.Lines, l)
		if instance, ok := l.Fields["instance"].(string); ok {
			met[instance] = true
		}
	}
	if len(s.Lines) == 0 {
		return nil, &UnknownIDError{ID: id, LeftOut: leftOut(all)}
	}
	byTime(s.Lines)
	from, to := s.Lines[0].At.Add(-contextTime), s.Lines[len(s.Lines)-1].At
	for _, l := range all {
		instance, _ := l.Fields["instance"].(string)
		if _, isCall := l.Fields["id"]; isCall || !met[instance] || l.At.Before(from) || l.At.After(to) {
			continue
		}
		s.Context = append(s.Context, l)
	}
	byTime(s.Context)
	return s, nil
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

func leftOut(all []Line) int {
	sum := 0
	for _, l := range all {
		if n, ok := l.Fields["count"].(float64); ok && l.Message == "log lines left out" {
			sum += int(n)
		}
	}
	return sum
}
