// Package config is the model of the configuration document: the sections that
// teams own, the services, routes, ranks and retry policies they declare, and
// the checks that a whole document must pass before it may be published or
// applied.
//
// Values in this package are immutable after Compile returns them and may be
// read from any goroutine.
package config
