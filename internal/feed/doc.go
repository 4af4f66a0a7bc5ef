// Package feed puts published items in force: versions in the snapshot store,
// upstreams in the directory.
package feed
