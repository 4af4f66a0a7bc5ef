// Package call parses calls, and defines their headers and the problem details
// (RFC 9457) that a caller receives for a failed call.
package call
