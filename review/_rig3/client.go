package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for one attempt; status 0 stands for none.
type answer struct {
	id, path   string
	machine    *machine
	sent, done time.Time
	status     int
	sealed     bool
	body       string
	limited    bool
	err        error
}

// client sends attempts to the outbound address of its machine, as its requesters do.
type client struct {
	http *http.Client
	rec  *record
	// cookie is sent as a header unless it is empty.
	cookie string
}

func newClient(rec *record) *client {
	return &client{rec: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send makes one attempt and waits for its answer.
func (c *client) send(m *machine, method, host, path, body string, limit time.Duration) answer {
	a := answer{id: newID(), path: path, machine: m, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.addr("outbound")+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	if c.cookie != "" {
		req.Header.Set("Cookie", c.cookie)
	}
	req.Header.Set("X-Filbertpier-Attempt-Id", a.id)
	req.Header.Set("X-Filbertpier-Request-Deadline", strconv.FormatInt(limit.Milliseconds(), 10))
	c.rec.add("client", "sends %s %s %s%s to %s", a.id, method, host, path, m.name)
	resp, err := c.http.Do(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body = resp.StatusCode, string(raw)
		a.sealed = resp.Header.Get("X-Filbertpier-Response-Seal") != ""
		a.limited = resp.Header.Get("Server-Limit") != ""
	}
	a.done, a.err = time.Now(), err
	if err != nil {
		c.rec.add("client", "%s gets no answer: %v", a.id, err)
	} else {
		c.rec.add("client", "%s gets %d %s", a.id, a.status, a.body)
	}
	return a
}
