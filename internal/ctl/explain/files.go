package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// maxLine bounds one log line in bytes.
const maxLine = 1 << 20

// ReadTimeline tells the story of a request from log files. It returns a *ReadError or
// an *UnknownIDError.
func ReadTimeline(id string, paths []string) (*Story, error) {
	var all []Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, &ReadError{Path: path, Err: err}
		}
		lines, err := read(filepath.Base(path), f)
		_ = f.Close()
		if err != nil {
			return nil, &ReadError{Path: path, Err: err}
		}
		all = append(all, lines...)
	}
	story, err := tell(id, all)
	if unknown, ok := err.(*UnknownIDError); ok {
		unknown.Files = len(paths)
	}
	return story, err
}

// read decodes the lines that are JSON objects, whatever stands before them on
// the line; others are no lines of a node.
func read(name string, r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		before, object, ok := strings.Cut(s.Text(), "{")
		if !ok {
			continue
		}
		if l, ok := parse("{" + object); ok {
			l.Source = strings.Join(append([]string{name}, strings.Fields(before)...), " ")
			out = append(out, l)
		}
	}
	return out, s.Err()
}

func parse(object string) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(object), &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Message, _ = fields["@message"].(string)
	text, _ := fields["@timestamp"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil && l.Message != "log lines left out" {
		return Line{}, false
	}
	l.At = at
	for _, name := range []string{"@message", "@timestamp", "@level", "@module"} {
		delete(fields, name)
	}
	return l, true
}
