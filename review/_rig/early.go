package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// longBody is the length of the long requests; max_body_bytes is 64 MiB.
	longBody = 1_200_000
	// firstPart of a long body is sent at once, the rest over a slower line.
	firstPart = 1_060_000
	piece     = 7_000
	pieceGap  = 2 * time.Millisecond
	// readOnAfter is how long after its early answer a server reads on.
	readOnAfter = 20 * time.Millisecond
)

// pattern returns the body of a request. Each line names the request and its place.
func pattern(id string, length int) []byte {
	var b bytes.Buffer
	for b.Len() < length {
		fmt.Fprintf(&b, "%s at %08d\n", id, b.Len())
	}
	return b.Bytes()[:length]
}

func init() { cases["early"] = earlyAnswer }

// earlyAnswer: servers answer long requests before they have read them, keep the
// connection and read on. The rest of each body has to be that of its request.
func earlyAnswer(b *bed, trouble bool) error {
	zones := map[string]string{"suva-a": "viti-levu", "labasa-a": "vanua-levu", "lakeba-a": "lau-east"}
	storeAddr := b.addr(250, storePort)
	services := []string{"refund", "desk", "archive"}
	for i, zone := range []string{"suva-a", "labasa-a", "lakeba-a"} {
		n, err := b.addNode(zone, zones[zone], services[i], storeAddr, zones)
		if err != nil {
			return err
		}
		if _, err := b.newServer(n, fmt.Sprintf("i-%d", i+1), func(c *serverConn, r *http.Request) bool {
			return serveLong(b, trouble, c, r)
		}); err != nil {
			return err
		}
	}
	b.store.configure(7, services, route{"r-refund", "jepu9.example", "/refund/", "unsafe", "refund", 3000, 1500, 2})
	if err := b.startAll(); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sendSmall(b, b.nodes[0], stop)
		}()
	}
	for range 12 {
		sendLong(b, b.nodes[0])
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wg.Wait()
	return nil
}

// serveLong answers long requests early if trouble is set.
func serveLong(b *bed, trouble bool, c *serverConn, r *http.Request) bool {
	id := attemptID(r)
	if r.ContentLength > shortBody && trouble {
		b.rec.log("server %s conn %d rejects %s early, before its body is in", c.s.id, c.n, id)
		c.answer(r, http.StatusServiceUnavailable, notExecuted(), nil)
		time.Sleep(readOnAfter)
		return readOn(b, c, r, id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		b.rec.log("server %s conn %d: body of %s ends after %d bytes: %v", c.s.id, c.n, id, len(body), err)
		return false
	}
	if !bytes.Equal(body, pattern(id, int(r.ContentLength))) {
		b.rec.breach("UNASKED: server %s runs %s with a changed body", c.s.id, id)
	}
	time.Sleep(5 * time.Millisecond)
	b.rec.log("server %s conn %d ran %s %s, %d bytes", c.s.id, c.n, id, r.URL.Path, len(body))
	answer := []byte("done " + id)
	c.answer(r, http.StatusOK, c.sealed(r, answer), answer)
	return true
}

// readOn reads the rest of a body after the early answer. What arrives has to be the
// request's own bytes; it may end early, with the connection.
func readOn(b *bed, c *serverConn, r *http.Request, id string) bool {
	body, err := io.ReadAll(r.Body)
	want := pattern(id, int(r.ContentLength))
	n := 0
	for n < len(body) && body[n] == want[n] {
		n++
	}
	if n < len(body) {
		b.rec.breach("UNASKED: server %s gets other bytes in the body of %s from byte %d of %d on (read %d, then %v): %.60q", c.s.id, id, n, len(want), len(body), err, body[n:])
		if i := bytes.Index(body, []byte("HTTP/1.1")); i >= 0 {
			b.rec.log("  these bytes hold another request: %.200q", body[max(0, i-30):])
		}
	} else {
		b.rec.log("server %s conn %d read on: %d of %d bytes of %s, %v", c.s.id, c.n, len(body), len(want), id, err)
	}
	return err == nil && !errors.Is(err, io.ErrUnexpectedEOF)
}

// sendLong sends one long request on a connection of its own.
func sendLong(b *bed, n *node) {
	id := newID()
	c, err := dial(n.addr(outboundPort))
	if err != nil {
		b.rec.log("no connection for %s: %v", id, err)
		return
	}
	defer func() { _ = c.Close() }()
	b.rec.log("requester sends %s, POST /refund/long, %d bytes", id, longBody)
	body := pattern(id, longBody)
	go func() {
		if _, err := c.Write(append([]byte(head("POST", "jepu9.example", "/refund/long", id, 2500*time.Millisecond, longBody)), body[:firstPart]...)); err != nil {
			return
		}
		for at := firstPart; at < longBody; at += piece {
			time.Sleep(pieceGap)
			if _, err := c.Write(body[at:min(at+piece, longBody)]); err != nil {
				return
			}
		}
	}()
	status, _, _, err := c.read(3 * time.Second)
	b.rec.log("requester gets %d for %s (%v)", status, id, err)
}

// sendSmall sends small requests on kept connections until stop.
func sendSmall(b *bed, n *node, stop <-chan struct{}) {
	var c *client
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		id := newID()
		if c == nil {
			var err error
			if c, err = dial(n.addr(outboundPort)); err != nil {
				continue
			}
		}
		body := pattern(id, 400)
		_, _ = c.Write(append([]byte(head("POST", "jepu9.example", "/refund/small", id, 1500*time.Millisecond, len(body))), body...))
		status, _, _, err := c.read(2 * time.Second)
		if status != 200 {
			b.rec.log("requester gets %d for %s (%v)", status, id, err)
		}
		if err != nil {
			_ = c.Close()
			c = nil
		}
	}
}
