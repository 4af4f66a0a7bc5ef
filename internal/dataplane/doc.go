// Package dataplane is the HTTP front end of a node. It parses calls, relays
// them to the upstream or to other nodes, and writes the responses. Packages
// routing, admission, retry, quarantine, once and call make the decisions.
package dataplane
