// Package call defines the headers of calls, and the problem details (RFC 9457)
// that a caller receives for a failed call.
package call
