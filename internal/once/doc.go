// Package once decides whether a call with an idempotency key runs. Each key
// names one owner node, and only the owner's table decides, so that a call runs
// at most once without state shared between nodes. The package takes the time as
// an argument and imports no transport.
package once
