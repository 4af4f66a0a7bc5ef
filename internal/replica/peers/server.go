package peers

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/filbertpier/filbertpier/internal/replica"
)

const (
	// maxConns bounds the questions answered at once.
	maxConns = 32
	// questionTimeout bounds one connection.
	questionTimeout = 3 * time.Second
)

// Server answers the questions of other nodes. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	table    *replica.Table
	conns    atomic.Int64
}

// Listen starts a server. It returns a *ListenError.
func Listen(addr string, table *replica.Table) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ListenError{Addr: addr, Err: err}
	}
	s := &Server{listener: l, table: table}
	go s.accept()
	return s, nil
}

// Close ends the listener.
func (s *Server) Close() { _ = s.listener.Close() }

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
	_ = c.SetDeadline(time.Now().Add(questionTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), questionTimeout)
	defer cancel()
	conn := jsonrpc2.NewConn(ctx, stream(c), jsonrpc2.HandlerWithError(s.handle))
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
		_ = conn.Close()
	}
}

func (s *Server) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != fetchMethod || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	var p fetchParams
	if err := json.Unmarshal(*r.Params, &p); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return s.table.Since(p.After), nil
}

func stream(c net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(c, jsonrpc2.VSCodeObjectCodec{})
}
