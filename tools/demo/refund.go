package main

import (
	"io"
	"net/http"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/once"
	"github.com/filbertpier/filbertpier/snapshot"
	"github.com/filbertpier/filbertpier/tools/fleet"
)

// refund requests an idempotency key and sends the same refund with it twice, to
// different nodes. Each response must echo the body or report an unknown
// outcome, so that the second one matches the first.
func (c *callers) refund(n int, body string, minVersion snapshot.ID) snapshot.ID {
	key := c.issueKey(n, minVersion)
	if key == "" {
		c.failed.Add(1)
		return minVersion
	}
	for repeat := range 2 {
		for attempt := range maxEntryAttempts {
			resp, err := c.send(http.MethodPost, c.entry(n+repeat*7, attempt)+"/refunds", body, key, minVersion)
			if err != nil {
				c.retried.Add(1)
				continue
			}
			minVersion = c.checkRefund(resp, key, body, minVersion)
			break
		}
	}
	return minVersion
}

func (c *callers) issueKey(n int, minVersion snapshot.ID) string {
	for attempt := range maxEntryAttempts {
		resp, err := c.send(http.MethodPost, c.entry(n, attempt)+call.KeysPath+"?route=refund", "", "", minVersion)
		if err != nil {
			c.retried.Add(1)
			continue
		}
		_ = resp.Body.Close()
		return resp.Header.Get(call.HeaderIdempotencyKey)
	}
	return ""
}

func (c *callers) checkRefund(resp *http.Response, key, body string, minVersion snapshot.ID) snapshot.ID {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	ran := call.Ran(resp.Header.Get(call.HeaderRan))
	if err == nil && resp.StatusCode != http.StatusOK && ran == call.RanUnknown {
		c.unknown.Add(1)
		return minVersion
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		c.failed.Add(1)
		return minVersion
	}
	if string(data) != body {
		c.wrong.Add(1)
	}
	c.refunds.add(key)
	return minVersion
}

// refundsWithoutRun counts the refunds that got a success response although
// their owner's upstream has not executed them. It skips owners that are not in
// vms and counts every key that cannot be parsed.
func (c *callers) refundsWithoutRun(runs map[string]int64, vms []fleet.VM) int64 {
	remaining := map[string]bool{}
	for _, v := range vms {
		remaining[v.ID] = true
	}
	missing := int64(0)
	for _, keyText := range c.refunds.all() {
		key, err := once.ParseKey(keyText)
		if err != nil || remaining[key.VM] && runs[keyText] == 0 {
			missing++
		}
	}
	return missing
}
