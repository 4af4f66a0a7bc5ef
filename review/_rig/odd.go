package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["odd"] = oddEntry }

// oddEntry: another writer registers entries of a service that no configuration names,
// at the addresses of servers. They name no server to use; the others hold.
func oddEntry(b *bed, trouble bool) error {
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
			answer := []byte(c.s.service)
			c.answer(r, http.StatusOK, c.sealed(r, answer), answer)
			return true
		})
		if err != nil {
			return err
		}
	}
	first := route{"r-refund", "jepu9.example", "/refund/", "unsafe", "ledger", 1000, 400, 2}
	added := route{"r-lookup", "jepu9.example", "/lookup/", "safe", "desk", 1000, 400, 2}
	b.store.configure(7, services, first)
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	b.store.configure(9, services, first, added)
	time.Sleep(4 * time.Second)
	var served [2]atomic.Int64
	const rounds = 40
	send := func() {
		for range rounds {
			for _, n := range b.nodes {
				for i, path := range []string{"/refund/2f", "/lookup/2f"} {
					id := newID()
					status, answer, err := ask(b.rec, n.addr(outboundPort), "GET", "jepu9.example", path, id, time.Second, nil)
					if status == http.StatusOK {
						served[i].Add(1)
					}
					b.rec.log("requester at %s sent %s %s and got %d %s %v", n.name, id, path, status, answer, err)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	if trouble {
		for i := 3; i < 6; i++ {
			b.store.put(fmt.Sprintf("servers/other-%d", i), map[string]any{
				"address": b.nodes[i].addr(serverPort), "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": "inventory", "version": "3", "zone": b.nodes[i].zone, "slots": 4},
				"status": map[string]any{"state": "ready", "sequence": 1, "cold_remaining_ms": 0},
			})
		}
	}
	time.Sleep(4 * time.Second)
	send()
	a, c := served[0].Load(), served[1].Load()
	b.rec.log("served on the first route: %d, on the added route: %d, of %d each", a, c, rounds*len(b.nodes))
	if 4*c < a {
		b.rec.breach("CONFIG: the added route is served %d times, the first one %d times", c, a)
	}
	return nil
}
