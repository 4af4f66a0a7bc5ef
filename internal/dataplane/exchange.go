package dataplane

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/dataplane/relay"
	"github.com/filbertpier/filbertpier/internal/once"
	"github.com/filbertpier/filbertpier/internal/routing"
	"github.com/filbertpier/filbertpier/snapshot"
)

// exchange is one call being served. It belongs to one goroutine.
type exchange struct {
	w    http.ResponseWriter
	r    *http.Request
	call *call.Call
	snap *snapshot.Snapshot
	body *relay.Body
	// runCtx is the context in which the call runs; it ends when the caller
	// leaves unless the call has an idempotency key that this node owns.
	runCtx context.Context
	// responseStarted is set once the answer's header has been sent.
	responseStarted bool
	// loadReport is the loadReport report of the last attempt, or nil.
	loadReport *routing.LoadReport
	// isRetry is set on all attempts but the first.
	isRetry bool
	// ownerDecided is set if the owner of the idempotency key has decided the outcome.
	ownerDecided bool
}

// fingerprint identifies the content of the request. Of a large body it covers
// the first replayBytes and the length.
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

// quarantineFingerprint identifies the request and its resent copies. It covers the
// path as well as the route, since requests without a body differ only there.
func (x *exchange) quarantineFingerprint() [16]byte {
	d := xxhash.New()
	for _, part := range []string{x.call.Route.Name, x.call.Key, x.r.Method, x.r.URL.EscapedPath(), x.r.URL.RawQuery} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	var out [16]byte
	binary.BigEndian.PutUint64(out[:8], d.Sum64())
	d.ResetWithSeed(uint64(x.body.Length))
	_, _ = d.Write(x.body.Buffered)
	binary.BigEndian.PutUint64(out[8:], d.Sum64())
	return out
}

// otherCopyMayHaveRun reports whether a refusal says nothing about other copies of the
// call: only the owner of an idempotency key knows whether one of them ran.
func (x *exchange) otherCopyMayHaveRun() bool {
	if x.ownerDecided || x.call != nil && x.call.Route.Idempotent {
		return false
	}
	_, err := once.ParseKey(x.r.Header.Get(call.HeaderIdempotencyKey))
	return err == nil
}

// waitForViewRefresh waits until the view of the fleet may have been rebuilt. It
// reports whether the call still runs.
func (x *exchange) waitForViewRefresh() bool { return x.wait(viewRefreshWait) }

// wait waits for d and reports whether the call still runs.
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
