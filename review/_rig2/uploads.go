package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/filbertpier/filbertpier/platform/standin"
)

const (
	// garbleSpells is how often the faulty server rejects requests early, for garbleTime
	// each, with a pause of the same length before.
	garbleSpells = 6
	garbleTime   = 6 * time.Second
	// uploadRequesters is how many requesters are at each of two nodes.
	uploadRequesters = 3
	// earlyShare is the part of the requests that the faulty server rejects before they are
	// in.
	earlyShare = 0.4
	// chunkBytes is the size of the chunks of a body, chunkInterval the pause of the
	// requester after each.
	chunkBytes    = 32 << 10
	chunkInterval = time.Millisecond
	// minUploadBytes and maxUploadBytes bound the bodies.
	minUploadBytes = 1_050_000
	maxUploadBytes = 1_250_000
	// bodyLimit is max_body_bytes of the configuration.
	bodyLimit = 64 << 20
	// deniedFixed and deniedShare are the limits of the rule DENIED.
	deniedFixed = 5
	deniedShare = 1.0 / 500
)

// playUploads lets requesters upload bodies in chunks on kept connections, each followed by
// a lookup. In spells, one of the two servers of the uploads rejects a part of them before
// they are in.
func playUploads(rec *record, trouble bool) (bool, error) {
	vms := hffaVMs()
	b, err := newBed(rec, vms, 184)
	defer b.close()
	if err != nil {
		return false, err
	}
	b.linkMbps = 200
	b.bodyLimit.Store(bodyLimit)
	b.store.PutConfiguration(12, []standin.Route{
		{Host: host, Prefix: "/slot/", Service: "schedule-desk", Idempotent: true, TimeoutMs: 2500, TargetMs: 500, MaxAttempts: 3},
		{Host: host, Prefix: "/manifest/", Service: "manifest-office", TimeoutMs: 6000, TargetMs: 1000, MaxAttempts: 3},
	}, "schedule-desk", "manifest-office")
	for _, v := range vms {
		if err := b.startNode(v); err != nil {
			return false, err
		}
	}
	time.Sleep(contactTime)
	var running sync.WaitGroup
	results := &uploadResults{}
	end := time.Now().Add(2 * garbleSpells * garbleTime)
	for _, v := range vms[:2] {
		for i := range uploadRequesters {
			u := &uploader{bed: b, vm: v, name: fmt.Sprintf("%s%d", v.name, i), results: results}
			running.Go(func() { u.run(end) })
		}
	}
	faulty := vms[2].server
	for range garbleSpells {
		time.Sleep(garbleTime)
		faulty.rejectsEarly.Store(trouble)
		time.Sleep(garbleTime)
		faulty.rejectsEarly.Store(false)
	}
	running.Wait()
	limit := deniedFixed + deniedShare*float64(results.sent)
	rec.verdict("requests sent %d, uploads rejected before they were in %d; lookups answered 200 %d, 503 %d, 4xx %d, connection closed %d, answer of another %d; limit of DENIED %.1f",
		results.sent, faulty.early.Load(), results.ok, results.refused, results.denied, results.closed, results.foreign, limit)
	return float64(results.denied) > limit || results.foreign > 0, nil
}

// uploadResults counts what the requesters got. It is safe for concurrent use.
type uploadResults struct {
	mu                                   sync.Mutex
	sent                                 int
	ok, refused, denied, closed, foreign int
}

func (r *uploadResults) update(f func(*uploadResults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

// uploader is a requester with a kept connection.
type uploader struct {
	bed     *bed
	vm      *vm
	name    string
	results *uploadResults
}

func (u *uploader) run(end time.Time) {
	var c net.Conn
	var br *bufio.Reader
	for n := 0; time.Now().Before(end); n++ {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", u.bed.addr(u.vm, portOutbound), time.Second); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(c)
		}
		if !u.play(c, br, n) {
			_ = c.Close()
			c = nil
		}
		time.Sleep(rand.N(20 * time.Millisecond))
	}
	if c != nil {
		_ = c.Close()
	}
}

// play sends an upload to its end and then, once the answer to it is there and says
// nothing of a close, a lookup on the same connection. It returns whether the connection
// can be used again.
func (u *uploader) play(c net.Conn, br *bufio.Reader, n int) bool {
	rec := u.bed.rec
	id := fmt.Sprintf("%s-%04d", u.name, n)
	u.results.update(func(r *uploadResults) { r.sent++ })
	answered := make(chan *http.Response, 1)
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
		if err != nil {
			resp = nil
		} else {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		answered <- resp
	}()
	rec.line("requester sends upload %s", id)
	u.writeUpload(c, id)
	resp := <-answered
	if resp == nil {
		rec.line("requester gets no answer to upload %s", id)
		return false
	}
	rec.line("requester gets %d for upload %s, close %t", resp.StatusCode, id, resp.Close)
	if resp.Close {
		return false
	}
	return u.lookup(c, br, id+"-lookup")
}

func (u *uploader) lookup(c net.Conn, br *bufio.Reader, id string) bool {
	rec := u.bed.rec
	u.results.update(func(r *uploadResults) { r.sent++ })
	rec.line("requester sends lookup %s", id)
	_, _ = fmt.Fprintf(c, "GET /slot/5-100/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\n\r\n", host, headerAttempt, id, headerDeadline)
	_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
	resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
	if err != nil {
		rec.line("requester gets no answer to lookup %s: %v", id, err)
		u.results.update(func(r *uploadResults) { r.closed++ })
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	got := resp.Header.Get(headerAttempt)
	rec.line("requester gets %d for lookup %s, id %q, close %t", resp.StatusCode, id, got, resp.Close)
	u.results.update(func(r *uploadResults) {
		switch {
		case got != "" && got != id:
			r.foreign++
		case resp.StatusCode == http.StatusOK:
			r.ok++
		case resp.StatusCode >= 400 && resp.StatusCode < 500:
			r.denied++
		default:
			r.refused++
		}
	})
	return resp.StatusCode == http.StatusOK
}

// writeUpload sends a request with a body in chunks.
func (u *uploader) writeUpload(c net.Conn, id string) {
	_, _ = fmt.Fprintf(c, "POST /manifest/20-100/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 6000\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, host, headerAttempt, id, headerDeadline)
	line := "cargo manifest line of " + id + "\n"
	chunk := strings.Repeat(line, chunkBytes/len(line)+1)[:chunkBytes]
	for left := minUploadBytes + rand.IntN(maxUploadBytes-minUploadBytes); left > 0; left -= chunkBytes {
		part := chunk[:min(left, chunkBytes)]
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part); err != nil {
			return
		}
		time.Sleep(chunkInterval)
	}
	// A failed write shows as the end of the connection.
	_, _ = io.WriteString(c, "0\r\n\r\n")
}
