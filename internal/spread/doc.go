// Package spread decides how versions and member updates are disseminated:
// which nodes a node sends them to, which nodes pull across regions, and how
// content is encoded as deltas. It holds no state of the node and imports no
// transport.
package spread
