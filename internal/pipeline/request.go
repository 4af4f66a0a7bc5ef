package pipeline

import "context"

// BeginClose asks for the connection of ctx to be closed, and reports like ClosesAfter
// whether that is to happen after the response to the request of ctx.
func BeginClose(ctx context.Context) bool {
	p := fromContext(ctx)
	if p == nil {
		return true
	}
	p.session.beginClose()
	return p.session.closesAfter(p)
}

// ClosesAfter reports whether the response to the request of ctx must say "Connection:
// close", because BeginClose was called for the connection and no request behind is being
// served. A response that says so earlier takes the requests behind it along, whose
// clients then do not learn that they have run.
func ClosesAfter(ctx context.Context) bool {
	p := fromContext(ctx)
	return p != nil && p.session.closesAfter(p)
}

// AwaitTurn waits until the responses to all requests before that of ctx on its
// connection are complete. It returns false if ctx ends or the client leaves before. A
// call that may run only once must wait: clients send again what is behind a response
// that closes the connection.
func AwaitTurn(ctx context.Context) bool {
	p := fromContext(ctx)
	return p == nil || p.awaitPrevious(ctx.Done())
}
