package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// LevelChange is the outcome of changing the log level.
type LevelChange struct {
	Level   string   `json:"level"`
	Changed []string `json:"changed"`
}

// SetLogLevel changes the log level of all nodes until they restart. The error
// is an *Error.
func (c *Client) SetLogLevel(ctx context.Context, level string) (*LevelChange, error) {
	a := ask[struct{}](ctx, c, http.MethodPut, "/v1/log-level/"+url.PathEscape(level))
	r := &LevelChange{Level: level, Changed: []string{}}
	for i, ok := range a.ok {
		if ok {
			r.Changed = append(r.Changed, c.nodes[i])
		}
	}
	return r, a.err()
}

// Text implements ctl.Result.
func (r *LevelChange) Text(w io.Writer) error {
	_, err := fmt.Fprintf(w, "log level %s on %d nodes\n", r.Level, len(r.Changed))
	return err
}
