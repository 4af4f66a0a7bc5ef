// Package spread decides how versions and member updates travel between nodes:
// which nodes a node tells, which nodes pull across regions, and how sections
// are encoded as deltas. It holds no state and imports no transport.
package spread
