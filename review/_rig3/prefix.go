package main

import (
	"fmt"
	"time"
)

// encodedPrefix plays a version that adds a route whose prefix has a percent-encoded
// letter, as it stands in the paths of the requests.
func encodedPrefix(t *trial) (bool, error) {
	f, ips, err := newFleet(t.repo, t.dir, 2, t.rec)
	if err != nil {
		return false, err
	}
	defer f.killAll()
	st := newStore(f.store, t.rec)
	if err := st.open(); err != nil {
		return false, err
	}
	defer st.shut()
	for i, ip := range ips {
		m := f.add(ip, "north-a", "north", "roster")
		s := &server{service: m.service, addr: m.addr("app"), zone: m.zone, slots: 18, queue: 72, work: 20 * time.Millisecond, rec: t.rec}
		if err := s.open(fmt.Sprintf("i-%s-%d", m.service, i)); err != nil {
			return false, err
		}
		defer s.crash()
		st.put("servers/"+s.id, s.entry("ready"))
	}
	routes := []route{{name: "r-look", host: "look.example", prefix: "/look/", kind: "safe", service: "roster", timeoutMs: 1000, targetMs: 500, attempts: 2}}
	st.putConfig(0x10, routes, []string{"roster"})
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	prefix := "/cafe/"
	if t.trouble {
		prefix = "/caf%C3%A9/"
	}
	st.putConfig(0x12, append(routes, route{name: "r-cafe", host: "look.example", prefix: prefix, kind: "safe", service: "roster", timeoutMs: 1000, targetMs: 500, attempts: 2}), []string{"roster"})
	time.Sleep(configApply + time.Second)
	c := newClient(t.rec)
	missing := 0
	for n := range 40 {
		if a := c.send(f.machines[n%2], "GET", "look.example", fmt.Sprintf("%s%d", prefix, n), "", 2*time.Second); a.status == 404 {
			missing++
		}
	}
	t.rec.add("judge", "CONFIG: %d of 40 requests on the route that was added got 404", missing)
	fmt.Printf("CONFIG: %d of 40 requests on the route that was added got 404\n", missing)
	return missing > 0, nil
}
