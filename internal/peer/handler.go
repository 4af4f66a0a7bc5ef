package peer

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/filbertpier/filbertpier/internal/message"
)

// handler decodes the messages of one incoming connection.
type handler struct {
	receive Receiver
	traffic Traffic
}

// Handle implements jsonrpc2.Handler.
func (h handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		h.reply(ctx, conn, req)
		return
	}
	m, err := Decode(req.Method, req.Params)
	if err != nil {
		h.traffic.Malformed()
		return
	}
	h.receive(m)
}

func (h handler) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == probeMethod {
		_ = conn.Reply(ctx, req.ID, struct{}{})
		return
	}
	_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"})
}

// Decode returns the message of a notification. It returns a
// *message.UnknownKindError or a *MalformedMessageError.
func Decode(method string, params *json.RawMessage) (message.Message, error) {
	m, err := message.New(message.Kind(method))
	if err != nil {
		return nil, err
	}
	if params == nil {
		return nil, &MalformedMessageError{Kind: message.Kind(method)}
	}
	if err := json.Unmarshal(*params, m); err != nil {
		return nil, &MalformedMessageError{Kind: message.Kind(method), Err: err}
	}
	return m, nil
}
