package explain

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const entryLog = `1.0 vm-a {"@level":"info","@message":"call","@timestamp":"2026-05-26T13:05:01.300Z","id":"7f","outcome":"not-run","reason":"late"}
not a line of a node
1.0 vm-a {"@level":"info","@message":"attempt","@timestamp":"2026-05-26T13:05:01.200Z","id":"7f","instance":"i-1","reason":"late"}
1.0 vm-a {"@level":"info","@message":"call","@timestamp":"2026-05-26T13:05:01.250Z","id":"7f.2","outcome":"answered"}
1.0 vm-a {"@level":"info","@message":"call","@timestamp":"2026-05-26T13:05:01.260Z","id":"7f2","outcome":"answered"}
{"@level":"warn","@message":"log lines left out","count":4}
`

const upstreamLog = `{"@level":"info","@message":"upstream listed","@timestamp":"2026-05-26T13:05:00.000Z","instance":"i-1","state":"ready"}
{"@level":"info","@message":"upstream listed","@timestamp":"2026-05-26T13:04:00.000Z","instance":"i-1","state":"ready"}
{"@level":"info","@message":"admission","@timestamp":"2026-05-26T13:05:01.190Z","id":"7f","reason":"late","running":6}
`

func writeLog(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against timelines that omit the decisions of other nodes, include
// other requests or are out of order.
func TestTimelineOfOneRequest(t *testing.T) {
	s, err := ReadTimeline("7f", []string{writeLog(t, "a.log", entryLog), writeLog(t, "b.log", upstreamLog)})
	if err != nil {
		t.Fatal(err)
	}
	var messages []string
	for _, l := range s.Lines {
		messages = append(messages, l.Message)
	}
	if got := strings.Join(messages, " "); got != "admission attempt call call" || len(s.Context) != 1 {
		t.Errorf("got lines %s, context %v", got, s.Context)
	}
	var out bytes.Buffer
	if err := s.Text(&out); err != nil || !strings.Contains(out.String(), "reason=late") {
		t.Errorf("text output: %v\n%s", err, out.String())
	}
}

// Guards against an empty timeline for an unknown request, and against an error
// that does not count the lines that nodes dropped.
func TestUnknownRequest(t *testing.T) {
	var unknown *UnknownIDError
	_, err := ReadTimeline("8", []string{writeLog(t, "a.log", entryLog)})
	if !errors.As(err, &unknown) || unknown.DroppedLines != 4 || unknown.Files != 1 {
		t.Errorf("unknown id: got %v, want an *UnknownIDError for 1 file and 4 dropped lines", err)
	}
	var readErr *ReadError
	if _, err := ReadTimeline("8", []string{"missing"}); !errors.As(err, &readErr) {
		t.Errorf("missing file: got %v, want a *ReadError", err)
	}
}
