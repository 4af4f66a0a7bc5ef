package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashDown is how long a crashed server is away.
	crashDown = 2 * time.Second
	// comesAgain is how often requesters send the crashing request.
	comesAgain = 1500 * time.Millisecond
	// contact is contact_ms of the settings.
	contact = 4 * time.Second
	// allowedRetries is the number of retries of the rule.
	allowedRetries = 3
)

func init() { cases["crash"] = crashingRequest }

// crashingRequest: one request crashes each server that begins to run it, and comes
// again at any machine. Beside it, other requests run.
func crashingRequest(b *bed, trouble bool) error {
	zones := map[string]string{"suva-a": "viti-levu", "labasa-a": "vanua-levu", "lakeba-a": "lau-east"}
	zoneNames := []string{"suva-a", "labasa-a", "lakeba-a"}
	// thirdCrash is when the third server crashed, in nanoseconds of the record.
	var crashes, thirdCrash, late, lost atomic.Int64
	var mu sync.Mutex
	seen := map[string]bool{}
	for i := range 6 {
		zone := zoneNames[i%3]
		n, err := b.addNode(zone, zones[zone], "ledger", b.addr(250, storePort), zones)
		if err != nil {
			return err
		}
		_, err = b.newServer(n, fmt.Sprintf("i-%d", i+1), func(c *serverConn, r *http.Request) bool {
			id := attemptID(r)
			if r.URL.Path != "/refund/crash" || !trouble {
				time.Sleep(100 * time.Millisecond)
				answer := []byte("done " + id)
				c.answer(r, http.StatusOK, c.sealed(r, answer), answer)
				return true
			}
			third := time.Duration(thirdCrash.Load())
			now := b.rec.now()
			if third > 0 && now > third+contact {
				mu.Lock()
				first := !seen[id]
				seen[id] = true
				mu.Unlock()
				if first {
					late.Add(1)
					b.rec.log("server %s begins to run %s %.1f s after the third crash (retry %d after the bound)", c.s.id, id, (now - third).Seconds(), late.Load())
					if late.Load() > allowedRetries {
						b.rec.breach("BUDGET: the crashing request reaches a server in retry %d after the bound", late.Load())
					}
				}
			}
			b.rec.log("server %s begins to run %s and crashes (crash %d)", c.s.id, id, crashes.Load()+1)
			if crashes.Add(1) == 3 {
				thirdCrash.Store(int64(now))
			}
			c.s.crash()
			go func() {
				time.Sleep(crashDown)
				if err := c.s.start(); err != nil {
					b.rec.log("server %s does not come back: %v", c.s.id, err)
				}
			}()
			return false
		})
		if err != nil {
			return err
		}
	}
	b.store.configure(7, []string{"ledger"}, route{"r-refund", "jepu9.example", "/refund/", "unsafe", "ledger", 1500, 600, 2})
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	end := time.Now().Add(25 * time.Second)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; time.Now().Before(end); i++ {
			id := newID()
			n := b.nodes[i%len(b.nodes)]
			status, _, err := ask(b.rec, n.addr(outboundPort), "POST", "jepu9.example", "/refund/crash", id, 1500*time.Millisecond, []byte("the same body"))
			b.rec.log("requester sent %s /refund/crash at %s and got %d (%v)", id, n.name, status, err)
			time.Sleep(comesAgain)
		}
	}()
	for i, n := range b.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				id := newID()
				status, _, err := ask(b.rec, n.addr(outboundPort), "POST", "jepu9.example", fmt.Sprintf("/refund/%d", i), id, 1500*time.Millisecond, []byte("refund"))
				if status != http.StatusOK {
					lost.Add(1)
					b.rec.log("requester sent %s /refund/%d at %s and got %d (%v)", id, i, n.name, status, err)
				}
			}
		}()
	}
	wg.Wait()
	b.rec.log("crashes %d, retries that reached a server after the bound %d, other requests without success %d", crashes.Load(), late.Load(), lost.Load())
	return nil
}
