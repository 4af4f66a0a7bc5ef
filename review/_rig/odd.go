package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["odd"] = oddEntries }

const (
	// downTime is down_s of the final fault, as on days of the site.
	downTime = 1400 * time.Millisecond
	// silence is three times heartbeat_ms: the store then removes an entry whose
	// writer writes no more.
	silence = 3 * 1500 * time.Millisecond
	// recovery is recovery_s of the settings.
	recovery = 15 * time.Second
	// measured is how long requests are sent before the fault and after recovery.
	measured = 4 * time.Second
)

// oddEntries: another writer registers a service that no configuration names, at the
// addresses of the servers, and writes no more, so that the store soon removes its
// entries. They name no server to use; the others hold. Just before, all processes are
// killed; they start again.
func oddEntries(b *bed, trouble bool) error {
	zones := map[string]string{"suva-a": "viti-levu", "labasa-a": "vanua-levu", "lakeba-a": "lau-east"}
	zoneNames := []string{"suva-a", "labasa-a", "lakeba-a"}
	services := []string{"ledger", "desk"}
	for i := range 6 {
		zone := zoneNames[i%3]
		n, err := b.addNode(zone, zones[zone], services[i/3], b.addr(250, storePort), zones)
		if err != nil {
			return err
		}
		_, err = b.newServer(n, fmt.Sprintf("i-%d", i+1), func(c *serverConn, r *http.Request) bool {
			time.Sleep(20 * time.Millisecond)
			answer := []byte(c.s.service)
			c.answer(r, http.StatusOK, c.sealed(r, answer), answer)
			return true
		})
		if err != nil {
			return err
		}
	}
	b.store.configure(7, services, route{"r-refund", "jepu9.example", "/refund/", "unsafe", "ledger", 1000, 400, 2},
		route{"r-lookup", "jepu9.example", "/lookup/", "safe", "desk", 1000, 400, 2})
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	served, sent := countServed(b)
	b.rec.log("before the fault %d of %d requests are served", served, sent)
	if 4*served < sent {
		return fmt.Errorf("only %d of %d requests are served before the fault", served, sent)
	}
	for _, n := range b.nodes {
		n.signal(syscall.SIGKILL)
	}
	b.rec.log("all processes are killed")
	for _, n := range b.nodes {
		<-n.done
	}
	oddKey := func(i int) string { return fmt.Sprintf("servers/inventory-%d", i) }
	if trouble {
		for i, n := range b.nodes {
			b.store.put(oddKey(i), map[string]any{
				"address": n.addr(serverPort), "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": "inventory", "version": "3", "zone": n.zone, "slots": 4},
				"status": map[string]any{"state": "ready", "sequence": 1, "cold_remaining_ms": 0},
			})
		}
	}
	time.Sleep(downTime)
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(silence)
	if trouble {
		for i := range b.nodes {
			b.store.put(oddKey(i), nil)
		}
	}
	time.Sleep(recovery - silence)
	served, sent = countServed(b)
	b.rec.log("later than recovery_s after the machines are back %d of %d requests are served", served, sent)
	if 4*served < sent {
		b.rec.breach("RECOVER: %d of %d requests are served, less than a quarter", served, sent)
	}
	return nil
}

// countServed sends requests of both routes at all machines.
func countServed(b *bed) (served, sent int64) {
	var okCount, all atomic.Int64
	var wg sync.WaitGroup
	for _, n := range b.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for end := time.Now().Add(measured); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
				for method, path := range map[string]string{"POST": "/refund/2f", "GET": "/lookup/2f"} {
					id := newID()
					var body []byte
					if method == "POST" {
						body = []byte("refund")
					}
					status, answer, err := ask(b.rec, n.addr(outboundPort), method, "jepu9.example", path, id, time.Second, body)
					all.Add(1)
					if status == http.StatusOK {
						okCount.Add(1)
					}
					b.rec.log("requester at %s sent %s %s %s and got %d %s %v", n.name, id, method, path, status, answer, err)
				}
			}
		}()
	}
	wg.Wait()
	return okCount.Load(), all.Load()
}
