package pipeline

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of a *part.
type connKey struct{}

// ConnContext returns a context that holds the part of a connection, for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if p := partOf(c); p != nil {
		return context.WithValue(ctx, connKey{}, p)
	}
	return ctx
}

// ConnState records when a response is written, for http.Server.ConnState.
func ConnState(c net.Conn, state http.ConnState) {
	if p := partOf(c); p != nil && state == http.StateIdle {
		p.session.finish(p)
	}
}

// partOf returns the part that a connection is or wraps, or nil.
func partOf(c net.Conn) *part {
	for {
		if p, ok := c.(*part); ok {
			return p
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

func fromContext(ctx context.Context) *part {
	p, _ := ctx.Value(connKey{}).(*part)
	return p
}
