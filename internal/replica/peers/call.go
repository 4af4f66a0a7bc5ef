package peers

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
)

// Call calls a JSON-RPC method of the node at addr over a connection that is closed
// afterwards, and decodes its result. It returns a *CallError.
func Call(ctx context.Context, addr, method string, params, result any) error {
	conn, err := dial(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return callOn(ctx, conn, addr, method, params, result)
}

func callOn(ctx context.Context, conn *jsonrpc2.Conn, addr, method string, params, result any) error {
	if err := conn.Call(ctx, method, params, result); err != nil {
		return &CallError{Addr: addr, Method: method, Err: err}
	}
	return nil
}
