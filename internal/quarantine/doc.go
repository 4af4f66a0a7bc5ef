// Package quarantine decides which requests may run on an upstream after
// upstreams have crashed. It takes the time as argument and imports no
// transport.
package quarantine
