// Package instance holds the upstreams that the platform publishes: one
// instance for each start of a server.
package instance
