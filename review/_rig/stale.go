package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	staleNodes = 22
	// cutLength is the longest core_cut of the sites.
	cutLength = 5500 * time.Millisecond
	// configApply is config_apply_ms of the settings.
	configApply = 2500 * time.Millisecond
)

func init() { cases["stale"] = staleVersion }

// staleVersion: two machines are partitioned from the store while the configuration
// changes. A third machine, which reaches the store all the while, has to apply the
// change in time.
func staleVersion(b *bed, trouble bool) error {
	zones := map[string]string{"suva-a": "viti-levu", "nadi-a": "viti-levu"}
	zoneNames := []string{"suva-a", "nadi-a"}
	// The nodes of a region order themselves by the hash of their control address.
	var order []int
	for host := 1; host <= staleNodes; host++ {
		order = append(order, host)
	}
	hash := func(host int) uint64 { return xxhash.Sum64String(b.addr(host, controlPort)) }
	sort.Slice(order, func(i, j int) bool { return hash(order[i]) < hash(order[j]) })
	first, second, last := order[0], order[2], order[18]
	b.rec.log("machines %d and %d are cut off from the store, machine %d is not", first, second, last)
	gates := map[int]*gate{}
	storeAddr := b.addr(250, storePort)
	seed := b.addr(order[1], controlPort)
	for host := 1; host <= staleNodes; host++ {
		service, addr := "desk", storeAddr
		if host == last {
			service = "refund"
		}
		if host == first || host == second {
			addr = b.addr(host, storePort)
			g, err := newGate(b.rec, fmt.Sprintf("machine %d", host), addr, storeAddr)
			if err != nil {
				return err
			}
			gates[host] = g
		}
		n, err := b.addNode(zoneNames[host%2], "viti-levu", service, addr, zones, seed)
		if err != nil {
			return err
		}
		_, err = b.newServer(n, fmt.Sprintf("i-%d", host), func(c *serverConn, r *http.Request) bool {
			time.Sleep(5 * time.Millisecond)
			answer := []byte("run by " + c.s.service + " " + c.s.id)
			c.answer(r, http.StatusOK, c.sealed(r, answer), answer)
			return true
		})
		if err != nil {
			return err
		}
	}
	services := []string{"desk", "refund"}
	b.store.configure(7, services, route{"r-refund", "jepu9.example", "/refund/", "unsafe", "refund", 1000, 400, 2})
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		gates[first].set(true)
		gates[second].set(true)
	}
	cutAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	b.store.configure(9, services, route{"r-refund", "jepu9.example", "/refund/", "unsafe", "desk", 1000, 400, 2})
	acked := time.Now()
	var wg sync.WaitGroup
	healed := false
	for time.Since(acked) < 10*time.Second {
		if trouble && !healed && time.Since(cutAt) >= cutLength {
			healed = true
			gates[first].set(false)
			gates[second].set(false)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			probeVersion(b, b.nodes[last-1], acked)
		}()
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	return nil
}

// probeVersion sends one request and checks which version handled it.
func probeVersion(b *bed, n *node, acked time.Time) {
	id, sent := newID(), time.Now()
	status, answer, err := ask(b.rec, n.addr(outboundPort), "POST", "jepu9.example", "/refund/2f", id, time.Second, []byte("x"))
	late := sent.Sub(acked)
	b.rec.log("%s, sent %.3f s after the ack at %s: %d %s %v", id, late.Seconds(), n.name, status, answer, err)
	if late > configApply && status == http.StatusOK && len(answer) > 13 && string(answer[:13]) == "run by refund" {
		b.rec.breach("CONFIG: %s was sent %.3f s after the ack and run by the old service", id, late.Seconds())
	}
}
