// Package retry decides whether a failed call is retried, and limits retries by
// a token budget per service. It takes time and randomness as arguments and
// does not depend on a transport.
package retry
