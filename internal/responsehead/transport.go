package responsehead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper for HTTP/1.1 without TLS whose responses have valid
// heads. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that sends requests by base, whose DialContext it
// wraps. base must not be used for anything else.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. It fails with an error for which IsInvalid
// holds if the head of the response is invalid. The idle connections of the base are then
// closed: net/http keeps that of a response without a body, although what it sends next
// may belong to any request.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.expect()
			used.Store(c)
		}
	}}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	err = Validate(resp)
	if c := used.Load(); err == nil && c != nil {
		err = c.err()
	}
	if err != nil {
		_ = resp.Body.Close()
		t.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
