package replica

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// maxRelistReads is far above what a node needs in the time of a test. Later reads wait,
// so that virtual time goes on beside a node that reads without a pause.
const maxRelistReads = 1000

// lostHistorySource is a platform that never has the changes after a node's revision and
// whose lists are older than that.
type lostHistorySource struct{ reads atomic.Int64 }

func (s *lostHistorySource) List(ctx context.Context) (Page, error) {
	if s.reads.Add(1) > maxRelistReads {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return Page{Revision: revision.Revision{Number: 3}}, nil
}

func (s *lostHistorySource) Watch(_ context.Context, after revision.Revision, _ time.Duration) (Page, error) {
	s.reads.Add(1)
	return Page{}, &CompactedError{Revision: after}
}

// Guards against a node that lists and watches without a pause while the platform lacks
// the changes after its revision and lists do not help.
func TestRelistingPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &lostHistorySource{}
		table := NewTable(func([]Item) {})
		table.Merge(Page{Revision: revision.Revision{Number: 7}})
		reader := NewReader(Config{
			Source: source, Peers: newTestFleet(), Observer: discardObserver{}, TreePosition: func() TreePosition { return TreePosition{} },
		}, table)
		go reader.Run(t.Context())
		const duration = 20 * time.Second
		time.Sleep(duration)
		// A read takes no time here; the pauses grow to at least half of maxBackoff.
		if got, most := source.reads.Load(), int64(4*duration/maxBackoff+20); got > most {
			t.Errorf("%d reads in %s, want at most %d", got, duration, most)
		}
	})
}
