// Package dataplane is the HTTP front end of a node: it reads calls, asks the
// decision packages and carries out what they decide. Decisions themselves are
// made in packages routing, admission and call.
package dataplane
