package peers

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/filbertpier/filbertpier/internal/listener"
	"github.com/filbertpier/filbertpier/internal/replica"
)

const (
	// maxConns bounds the connections that are served at once; further ones
	// are closed.
	maxConns = 64
	// maxWait bounds the wait that a client may ask for.
	maxWait = 5 * time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes, which detect
	// connections whose other side is gone.
	keepAliveInterval = 5 * time.Second
)

// Server serves a publisher's items to other nodes. It is safe for concurrent
// use.
type Server struct {
	listener   net.Listener
	publisher  *replica.Publisher
	compressor *compressor
	// methods are the methods besides fetchMethod.
	methods map[string]Method
	conns   atomic.Int64
	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc
}

// Listen starts a server on addr, which also serves the given methods. It returns a
// *listener.Error or a *CodecError.
func Listen(addr string, publisher *replica.Publisher, methods map[string]Method) (*Server, error) {
	c, err := newCompressor()
	if err != nil {
		return nil, err
	}
	config := net.ListenConfig{KeepAlive: keepAliveInterval}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, &listener.Error{Addr: addr, Err: err}
	}
	s := &Server{listener: l, publisher: publisher, compressor: c, methods: methods}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go s.accept()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and the connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.conns.Add(1) > maxConns {
			s.conns.Add(-1)
			_ = c.Close()
			continue
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer s.conns.Add(-1)
	conn := jsonrpc2.NewConn(s.ctx, newStream(c, maxRequestBytes), jsonrpc2.HandlerWithError(s.handle))
	select {
	case <-conn.DisconnectNotify():
	case <-s.ctx.Done():
		_ = conn.Close()
	}
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	method, known := s.methods[r.Method]
	if r.Method == fetchMethod {
		method, known = s.fetch, true
	}
	if !known || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	result, err := method(ctx, *r.Params)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return result, nil
}

// fetch implements fetchMethod.
func (s *Server) fetch(ctx context.Context, params json.RawMessage) (any, error) {
	var p fetchParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	page := s.publisher.Page(ctx, p.followRequest(s.publisher.Revision().Era))
	out := wirePage{
		Complete: page.Complete, Gaps: page.Gaps, Revision: page.Revision.Number, Era: page.Revision.Era, Fresh: page.Fresh,
		Confirmation: page.Confirmation, AgeMs: page.ConfirmedAge.Milliseconds(),
	}
	for _, i := range page.Items {
		out.Items = append(out.Items, s.compressor.compress(i))
	}
	return out, nil
}
