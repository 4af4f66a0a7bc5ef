// Package relay holds the parts for proxying HTTP between callers, nodes and
// upstreams: replayable request bodies, response writers and header rules. It
// makes no decisions about calls.
package relay
