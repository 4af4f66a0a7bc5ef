package main

import (
	"io"
	"net/http"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/once"
	"github.com/filbertpier/filbertpier/snapshot"
	"github.com/filbertpier/filbertpier/tools/fleet"
)

// refund asks for a key and sends a refund with it twice, to two nodes; the
// second time must give the first answer or an unknown outcome.
func (c *callers) refund(n int, body string, seen snapshot.ID) snapshot.ID {
	key := c.issueKey(n, seen)
	if key == "" {
		c.failed.Add(1)
		return seen
	}
	for repeat := range 2 {
		for try := range maxEntryTries {
			resp, err := c.send(http.MethodPost, c.entry(n+repeat*7, try)+"/refunds", body, key, seen)
			if err != nil {
				c.retried.Add(1)
				continue
			}
			seen = c.checkRefund(resp, key, body, seen)
			break
		}
	}
	return seen
}

func (c *callers) issueKey(n int, seen snapshot.ID) string {
	for try := range maxEntryTries {
		resp, err := c.send(http.MethodPost, c.entry(n, try)+call.KeysPath+"?route=refund", "", "", seen)
		if err != nil {
			c.retried.Add(1)
			continue
		}
		_ = resp.Body.Close()
		return resp.Header.Get(call.HeaderIdempotencyKey)
	}
	return ""
}

func (c *callers) checkRefund(resp *http.Response, key, body string, seen snapshot.ID) snapshot.ID {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	ran := call.Ran(resp.Header.Get(call.HeaderRan))
	if err == nil && resp.StatusCode != http.StatusOK && ran == call.RanUnknown {
		c.unknown.Add(1)
		return seen
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		c.failed.Add(1)
		return seen
	}
	if string(data) != body {
		c.wrong.Add(1)
	}
	c.refunds.add(key)
	return seen
}

// refundsWithoutRun counts the refunds that callers were told are done though
// their owner, if it still exists, did not run them.
func (c *callers) refundsWithoutRun(runs map[string]int64, vms []fleet.VM) int64 {
	left := map[string]bool{}
	for _, v := range vms {
		left[v.ID] = true
	}
	missing := int64(0)
	for _, text := range c.refunds.all() {
		key, err := once.ParseKey(text)
		if err != nil || left[key.VM] && runs[text] == 0 {
			missing++
		}
	}
	return missing
}
