// Package config models the configuration document: the sections that teams
// own, the services, routes, ranks and retry policies that sections declare, and
// the checks that a document must pass before it is published or applied.
//
// Values in this package are immutable after Compile returns them and may be
// read from any goroutine.
package config
