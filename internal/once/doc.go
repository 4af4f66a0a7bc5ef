// Package once decides whether a call with an idempotency key runs. Each key
// names one owner node; only the owner's table decides, so that a call runs at
// most once without any shared state. The package takes the time as argument
// and imports no transport.
package once
