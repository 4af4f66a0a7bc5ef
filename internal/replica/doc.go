// Package replica keeps a local copy of the items that the platform publishes.
// A node reads from the platform or from its parent node, and from other nodes
// during an outage. Items carry the platform's revision; merging keeps the
// newest one, so an older copy from any source never replaces a newer item.
package replica
