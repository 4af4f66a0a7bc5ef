// Package placement chooses the instance that is expected to answer a call
// first, from what this node observed and what the instances' nodes report. It
// answers fleets whose servers differ in speed and whose zones differ in load:
// a near server is preferred only as long as it is faster than a far one.
package placement
