// Package retry decides whether a call is tried again. Time and randomness
// come in as arguments; it imports no transport.
package retry
