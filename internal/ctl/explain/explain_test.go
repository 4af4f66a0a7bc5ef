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

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against stories that lack the decisions of other nodes, mix in other
// requests or tell them out of order.
func TestStoryOfOneRequest(t *testing.T) {
	s, err := ReadTimeline("7f", []string{write(t, "a.log", entryLog), write(t, "b.log", upstreamLog)})
	if err != nil {
		t.Fatal(err)
	}
	var messages []string
	for _, l := range s.Lines {
		messages = append(messages, l.Message)
	}
	if got := strings.Join(messages, " "); got != "admission attempt call call" || len(s.Context) != 1 {
		t.Errorf("lines %s, context %v", got, s.Context)
	}
	var out bytes.Buffer
	if err := s.Text(&out); err != nil || !strings.Contains(out.String(), "reason=late") {
		t.Errorf("%v %s", err, out.String())
	}
}

// Guards against an empty story for an unknown request, and against hiding that
// lines were left out.
func TestUnknownRequest(t *testing.T) {
	var unknown *UnknownIDError
	_, err := ReadTimeline("8", []string{write(t, "a.log", entryLog)})
	if !errors.As(err, &unknown) || unknown.LeftOut != 4 || unknown.Files != 1 {
		t.Errorf("got %v", err)
	}
	var unread *ReadError
	if _, err := ReadTimeline("8", []string{"missing"}); !errors.As(err, &unread) {
		t.Errorf("got %v", err)
	}
}
