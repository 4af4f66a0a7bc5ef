package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// testSource is one node's connection to the platform. While it is cut, reads
// end only with their context, as on a path that drops all packets.
type testSource struct {
	platform *testPlatform
	cut      atomic.Bool
	// compacted makes the pending or next watch report that the history is gone.
	compacted atomic.Bool
	// oversized makes each watch report that its response is too long.
	oversized atomic.Bool
	// reads counts the reads that were begun.
	reads atomic.Int64
}

func (s *testSource) List(ctx context.Context) (Page, error) {
	s.reads.Add(1)
	if s.cut.Load() {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	page, _ := s.platform.pageAfter(revision.Revision{}, true)
	return page, nil
}

func (s *testSource) Watch(ctx context.Context, after revision.Revision, wait time.Duration) (Page, error) {
	s.reads.Add(1)
	timeout := time.After(wait)
	for {
		if s.compacted.Swap(false) {
			return Page{}, &CompactedError{Revision: after}
		}
		if s.oversized.Load() {
			return Page{}, &OversizedPageError{Limit: 1}
		}
		page, changed := s.platform.pageAfter(after, false)
		if after.Number > page.Revision.Number {
			return Page{}, &CompactedError{Revision: after}
		}
		if len(page.Items) > 0 && !s.cut.Load() {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			if !s.cut.Load() {
				return page, nil
			}
			timeout = nil
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}
