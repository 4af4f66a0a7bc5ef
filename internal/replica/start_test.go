package replica

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// startPeer answers fetches with one page. It implements Fetcher.
type startPeer struct{ page Page }

func (p startPeer) Fetch(context.Context, string, uint64) (Page, error) { return p.page, nil }

func (p startPeer) Follow(ctx context.Context, _ string, _ uint64, wait time.Duration) (Page, error) {
	sleep(ctx, wait)
	return p.page, nil
}

func (p startPeer) Candidates(time.Time) []string { return []string{"peer"} }

// startSource counts lists. It implements Source.
type startSource struct{ lists atomic.Int64 }

func (s *startSource) List(context.Context) (Page, error) {
	s.lists.Add(1)
	return Page{At: 9}, nil
}

func (s *startSource) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	sleep(ctx, wait)
	return Page{At: after}, nil
}

// quiet ignores all reports. It implements Observer.
type quiet struct{}

func (quiet) ReadFailed(error)             {}
func (quiet) Regained(time.Duration)       {}
func (quiet) Relisting(uint64)             {}
func (quiet) PeerFailed(string, error)     {}
func (quiet) FromPeer(string, uint64, int) {}

// Guards against restarts that each list all items of the platform although
// other nodes have them: on days with 195 starts they made half of all calls.
func TestStartingNodeAsksOtherNodesFirst(t *testing.T) {
	cases := []struct {
		name  string
		page  Page
		lists int64
	}{
		{"a node that hears from the platform", Page{At: 7, Fresh: true}, 0},
		{"a node that does not", Page{At: 7}, 1},
		{"an empty node", Page{Fresh: true}, 1},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			source := &startSource{}
			r := NewReader(Config{
				Source: source, Peers: startPeer{c.page}, Observer: quiet{}, Plan: func() Plan { return Plan{Parent: "peer"} },
			}, NewTable(func(Item) {}))
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				r.Run(ctx)
			}()
			// A copy that another node gave may lead to one wait at a parent first.
			time.Sleep(maxStartDelay + startTimeout + followWait + followSlack)
			cancel()
			<-ended
			if got := source.lists.Load(); got != c.lists {
				t.Errorf("%s: %d lists, want %d", c.name, got, c.lists)
			}
		})
	}
}
