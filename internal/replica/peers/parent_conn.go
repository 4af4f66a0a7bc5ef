package peers

import (
	"context"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// parentConn is the persistent connection to the parent node. It is safe for
// concurrent use.
type parentConn struct {
	// mu guards addr and conn.
	mu   sync.Mutex
	addr string
	conn *jsonrpc2.Conn
}

// get returns the connection to a node, and dials if there is none. A connection
// to another node is closed first. It returns a *CallError.
func (p *parentConn) get(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.addr == addr {
		return p.conn, nil
	}
	p.close()
	conn, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.addr, p.conn = addr, conn
	return conn, nil
}

// drop closes the connection, so that the next get dials again.
func (p *parentConn) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close()
}

func (p *parentConn) close() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}
