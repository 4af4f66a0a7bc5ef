package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["timeout"] = longTimeout }

// longTimeout: a version moves a route to another service and, in the same document,
// sets the timeout of a download route. It has to be in force in config_apply_ms.
func longTimeout(b *bed, trouble bool) error {
	zones := map[string]string{"suva-a": "viti-levu", "labasa-a": "vanua-levu", "lakeba-a": "lau-east"}
	services := []string{"ledger", "archive", "desk"}
	for i, zone := range []string{"suva-a", "labasa-a", "lakeba-a"} {
		n, err := b.addNode(zone, zones[zone], services[i], b.addr(250, storePort), zones)
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
	refund := route{"r-refund", "jepu9.example", "/refund/", "unsafe", "ledger", 1000, 400, 2}
	bundle := route{"r-bundle", "jepu9.example", "/bundle/", "download", "archive", 60_000, 800, 2}
	b.store.configure(7, services, refund, bundle)
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	refund.service = "desk"
	if trouble {
		bundle.timeoutMs = 900_000
	}
	b.store.configure(9, services, refund, bundle)
	acked := time.Now()
	for time.Since(acked) < 15*time.Second {
		for _, n := range b.nodes {
			id, sent := newID(), time.Now()
			status, answer, err := ask(b.rec, n.addr(outboundPort), "POST", "jepu9.example", "/refund/2f", id, time.Second, []byte("refund"))
			late := sent.Sub(acked)
			b.rec.log("%s, sent %.3f s after the ack at %s: %d, run by %s %v", id, late.Seconds(), n.name, status, answer, err)
			if late > configApply && status == http.StatusOK && string(answer) == "ledger" {
				b.rec.breach("CONFIG: %s was sent %.3f s after the ack and run by the old service", id, late.Seconds())
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}
