package dataplane

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/dataplane/relay"
	"github.com/filbertpier/filbertpier/internal/disconnect"
	"github.com/filbertpier/filbertpier/internal/once"
	"github.com/filbertpier/filbertpier/internal/quarantine"
	"github.com/filbertpier/filbertpier/internal/routing"
	"github.com/filbertpier/filbertpier/snapshot"
)

// exchange is the state of one call that is being served. It is not safe for
// concurrent use.
type exchange struct {
	w    http.ResponseWriter
	r    *http.Request
	call *call.Call
	snap *snapshot.Snapshot
	body *relay.Body
	// runCtx is the context that the call runs in. It is cancelled when the
	// caller disconnects, unless this node executes the call as the owner of
	// its idempotency key.
	runCtx context.Context
	// responseStarted is set once the response header has been sent.
	responseStarted bool
	// loadReport is the load of the upstream that the last attempt was sent to, or
	// nil if it is unknown.
	loadReport *routing.LoadReport
	// isRetry is set on all attempts but the first.
	isRetry bool
	// ownerDecided is set if the owner of the idempotency key has decided the
	// outcome.
	ownerDecided bool
}

// fingerprint identifies the content of the request. For a large body it covers
// only the buffered prefix and the length, if that is known.
func (x *exchange) fingerprint() once.Fingerprint {
	h := sha256.New()
	var n [8]byte
	for _, part := range [][]byte{[]byte(x.r.Method), []byte(x.r.URL.EscapedPath()), []byte(x.r.URL.RawQuery), x.body.Buffered} {
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(part)
	}
	binary.BigEndian.PutUint64(n[:], uint64(x.body.Length))
	_, _ = h.Write(n[:])
	return once.Fingerprint(h.Sum(nil))
}

// quarantineFingerprint identifies the request and its resent copies. It covers
// the method, path and query as well as the route, since requests of one route
// without a body differ only in these.
func (x *exchange) quarantineFingerprint() quarantine.Fingerprint {
	head := []string{x.call.Route.Name, x.call.Key, x.r.Method, x.r.URL.EscapedPath(), x.r.URL.RawQuery}
	return quarantine.NewFingerprint(head, x.body.Length, x.body.Buffered)
}

// otherCopyMayHaveRun reports whether a copy of the call may have run although
// this one was rejected. Only the owner of an idempotency key can rule that out.
func (x *exchange) otherCopyMayHaveRun() bool {
	if x.ownerDecided || x.call != nil && x.call.Route.Idempotent {
		return false
	}
	_, err := once.ParseKey(x.r.Header.Get(call.HeaderIdempotencyKey))
	return err == nil
}

// waitForViewRefresh waits until the view of the fleet may have been rebuilt. It
// returns false if the call was cancelled meanwhile.
func (x *exchange) waitForViewRefresh() bool { return x.wait(viewRefreshWait) }

// wait waits for d. It returns false if the call was cancelled meanwhile.
func (x *exchange) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.runCtx.Done():
		return false
	}
}

// watchCaller ends runCtx also when the caller leaves while a part of the body is
// unread. The HTTP server then does not read from the connection. The returned
// function must be called before the handler returns.
func (x *exchange) watchCaller() (stop func()) {
	if x.body.Complete {
		return func() {}
	}
	ctx, cancel := context.WithCancel(x.runCtx)
	x.runCtx = ctx
	watch := disconnect.NewWatch(disconnect.FromContext(ctx), cancel)
	x.body.WrapRemaining(watch.Body)
	return func() {
		watch.Stop()
		cancel()
	}
}

// callerLeft reports whether the caller of a call that ends with its caller has left.
// runCtx of a call that was read after its caller had left ends only later.
func (x *exchange) callerLeft() bool { return x.call.Caller != nil && x.call.Caller.Closed() }
