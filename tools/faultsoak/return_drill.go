package main

import (
	"math/rand/v2"
	"time"

	"github.com/filbertpier/filbertpier/platform/standin"
)

const (
	minReturnPause = 3 * time.Second
	maxReturnPause = 8 * time.Second
	// maxCopyAge bounds the age of the copy from which the store returns, and
	// maxAwayTime how long it is away before that.
	maxCopyAge  = 4 * time.Second
	maxAwayTime = time.Second
	// maxRewriteTime is the time within which lost writes are written again.
	maxRewriteTime = 2 * time.Second
	// newsTime is how long the news of an entry or of an evacuation may take to reach
	// all nodes while there is no fault.
	newsTime = 1500 * time.Millisecond
	// versionsLost is how many versions are lost at once in calm.
	versionsLost = 8
)

// returnStore lets the store return from a copy of itself, again and again for d. It has
// random numbers of its own, so that the faults of a seed stay the same.
func (tb *testbed) returnStore(d time.Duration) {
	rng := rand.New(rand.NewPCG(tb.options.Seed, 4))
	for end := time.Now().Add(d); ; {
		pause(between(rng, minReturnPause, maxReturnPause))
		copied := tb.store.Copy()
		pause(between(rng, 0, maxCopyAge))
		if time.Now().Add(maxAwayTime + maxRewriteTime).After(end) {
			return
		}
		tb.returnFrom(copied, rng)
	}
}

// returnFrom lets the store be away, return from a copy and get back what it lost.
func (tb *testbed) returnFrom(copied *standin.Copy, rng *rand.Rand) {
	tb.returns.begin(time.Now())
	tb.faultyStore.away.Store(true)
	for _, m := range tb.vms {
		// The watches of the others go on to wait and end in the new era.
		if rng.IntN(2) == 0 {
			m.storeProxy.CloseConnections()
		}
	}
	pause(between(rng, 0, maxAwayTime))
	lost := tb.store.Restore(copied)
	tb.faultyStore.away.Store(false)
	rng.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, w := range lost {
		pause(between(rng, 0, maxRewriteTime/time.Duration(len(lost))))
		tb.store.Rewrite(w)
	}
	tb.returns.end(time.Now().Add(settleTime))
}

// returnStoreInCalm lets the store return from a copy without any other fault nearby. The
// copy is from before several versions in quick succession, of which only the newest is
// written again, and from before the drain of an upstream.
func (tb *testbed) returnStoreInCalm() {
	rng := rand.New(rand.NewPCG(tb.options.Seed, 5))
	pause(faultFreePeriod + settleTime)
	copied := tb.store.Copy()
	for range versionsLost {
		tb.publisher.publish()
	}
	replaced := make(chan struct{})
	go func() {
		defer close(replaced)
		tb.replaceUpstream(tb.vms[rng.IntN(len(tb.vms))])
	}()
	pause(newsTime + 100*time.Millisecond)
	tb.returnFrom(copied, rng)
	<-replaced
}

// between returns a random time between two limits.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}
