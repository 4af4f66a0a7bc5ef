// Package comeback decides when refused callers may come back, so that those who return
// find room: they are spread over the time in which the upstreams serve that many calls.
// It answers a flood in which the same callers would be refused again and again.
package comeback
