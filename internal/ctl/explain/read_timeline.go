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

// maxLineBytes is the maximum size of a log line; a longer one is a read error.
const maxLineBytes = 1 << 20

// ReadTimeline builds the timeline of a request from log files. Errors are of
// type *ReadError or *UnknownIDError.
func ReadTimeline(id string, paths []string) (*Timeline, error) {
	var all []Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, &ReadError{Path: path, Err: err}
		}
		lines, err := readLines(filepath.Base(path), f)
		_ = f.Close()
		if err != nil {
			return nil, &ReadError{Path: path, Err: err}
		}
		all = append(all, lines...)
	}
	timeline, err := newTimeline(id, all)
	if unknown, ok := err.(*UnknownIDError); ok {
		unknown.Files = len(paths)
	}
	return timeline, err
}

// readLines decodes the lines that end in a JSON object, which any text may
// precede. It skips other lines, as nodes do not write them.
func readLines(name string, r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		prefix, object, ok := strings.Cut(s.Text(), "{")
		if !ok {
			continue
		}
		if l, ok := parseLine("{" + object); ok {
			l.Source = strings.Join(append([]string{name}, strings.Fields(prefix)...), " ")
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// parseLine decodes a log line. It reports false for lines without a timestamp,
// except for the count of dropped lines, which may lack one.
func parseLine(object string) (Line, bool) {
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
