// Package replica keeps a copy of what the platform publishes. A node reads the
// platform itself; while it cannot, it asks other nodes. Items carry the
// platform's revision, so that copies from any source merge without going back.
package replica
