// Package feed applies published items: configuration versions to the snapshot
// store, entries of upstreams to the directory.
package feed
