// Package call defines what travels with a call: its headers, and the outcomes
// that a caller is told as problem details (RFC 9457).
package call
