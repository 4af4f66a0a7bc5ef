package fleet

import (
	"bufio"
	"bytes"
	"encoding/json"
	"sync"
	"time"
)

// logTimeLayout is the layout of hclog's JSON time stamps.
const logTimeLayout = "2006-01-02T15:04:05.000000Z07:00"

// LogBuffer keeps the JSON log of a process in memory. It is safe for
// concurrent use.
type LogBuffer struct {
	// mu guards buf.
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *LogBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns the log so far.
func (b *LogBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// AdoptedAt returns the time at which the process logged that it adopted a
// version, and false if it has not.
func (b *LogBuffer) AdoptedAt(version uint64) (time.Time, bool) {
	scanner := bufio.NewScanner(bytes.NewReader([]byte(b.String())))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line struct {
			Time    string `json:"@timestamp"`
			Message string `json:"@message"`
			Version uint64 `json:"version"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Message != "version-adopted" || line.Version != version {
			continue
		}
		at, err := time.Parse(logTimeLayout, line.Time)
		return at, err == nil
	}
	return time.Time{}, false
}
