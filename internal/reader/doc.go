// Package reader selects the nodes that watch the platform, and delays the
// fallback reads that any node makes when no recent read is known. Neither needs
// coordination: each node uses its own view of the members.
package reader
