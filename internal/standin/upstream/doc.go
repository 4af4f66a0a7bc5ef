// Package upstream is a stand-in for the upstreams: a server with slots that
// works, nests calls, drains, starts cold and crashes on request. It is used by
// tests and demonstrations only.
package upstream
