package intake

import (
	"context"
	"net"
)

// connKey is the context key of a *Conn.
type connKey struct{}

// ConnContext returns a context that holds the connection, for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	guarded, ok := c.(*Conn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, guarded)
}

// FromContext returns the connection of the request that a context belongs to, or nil
// if it is not guarded.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
