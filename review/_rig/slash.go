package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["slash"] = encodedSlash }

// encodedSlash: the configuration gains a route with a longer prefix. Requests whose
// path does not begin with that prefix stay with the service of their route.
func encodedSlash(b *bed, trouble bool) error {
	zones := map[string]string{"suva-a": "viti-levu", "labasa-a": "vanua-levu", "lakeba-a": "lau-east"}
	services := []string{"ledger", "archive", "desk"}
	for i, zone := range []string{"suva-a", "labasa-a", "lakeba-a"} {
		n, err := b.addNode(zone, zones[zone], services[i], b.addr(250, storePort), zones)
		if err != nil {
			return err
		}
		_, err = b.newServer(n, fmt.Sprintf("i-%d", i+1), func(c *serverConn, r *http.Request) bool {
			id := attemptID(r)
			b.rec.log("server %s of %s runs %s %s %s", c.s.id, c.s.service, id, r.Method, r.RequestURI)
			if c.s.service != "ledger" {
				b.rec.breach("ROUTE: %s %s runs at a server of %s; no configuration allows that", id, r.RequestURI, c.s.service)
			}
			answer := []byte("run by " + c.s.service)
			c.answer(r, http.StatusOK, c.sealed(r, answer), answer)
			return true
		})
		if err != nil {
			return err
		}
	}
	// The path /batches/7%2Fcerts/2f begins with /batches/ and not with
	// /batches/7/certs/ or /batches/7/.
	ledger := route{"r-ledger", "jepu9.example", "/batches/", "unsafe", "ledger", 1000, 400, 2}
	added := route{"r-archive", "jepu9.example", "/batches/7/", "safe", "archive", 1000, 400, 2}
	b.store.configure(7, services, ledger)
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	send := func() {
		for range 20 {
			for _, n := range b.nodes {
				id := newID()
				status, answer, err := ask(b.rec, n.addr(outboundPort), "POST", "jepu9.example", "/batches/7%2Fcerts/2f", id, time.Second, []byte("refund"))
				b.rec.log("requester at %s sent %s /batches/7%%2Fcerts/2f and got %d %s %v", n.name, id, status, answer, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	send()
	if trouble {
		b.store.configure(9, services, ledger, added)
	} else {
		b.store.configure(9, services, ledger)
	}
	time.Sleep(4 * time.Second)
	send()
	return nil
}
