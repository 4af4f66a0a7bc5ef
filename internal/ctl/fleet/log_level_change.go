package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// LogLevelChange is the result of SetLogLevel. It implements ctl.Result.
type LogLevelChange struct {
	Level string `json:"level"`
	// Changed holds the base URLs of the nodes that changed their level.
	Changed []string `json:"changed"`
}

// SetLogLevel changes the log level of all nodes until they restart. It returns
// an *Error if any node failed.
func (c *Client) SetLogLevel(ctx context.Context, level string) (*LogLevelChange, error) {
	a := requestAll[struct{}](ctx, c, http.MethodPut, "/v1/log-level/"+url.PathEscape(level))
	r := &LogLevelChange{Level: level, Changed: []string{}}
	for i, ok := range a.ok {
		if ok {
			r.Changed = append(r.Changed, c.nodes[i])
		}
	}
	return r, a.err()
}

// Text writes the level and the number of nodes changed.
func (r *LogLevelChange) Text(w io.Writer) error {
	_, err := fmt.Fprintf(w, "log level set to %s on %d nodes\n", r.Level, len(r.Changed))
	return err
}
