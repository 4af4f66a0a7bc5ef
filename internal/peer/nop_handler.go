package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
)

// nopHandler ignores requests on outgoing connections: peers send their messages
// over connections that they dial themselves.
type nopHandler struct{}

func (nopHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
