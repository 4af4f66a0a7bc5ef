// Package placement selects the instance with the lowest expected response time
// for a call, from this node's observations and the load reports of other nodes.
// It is made for fleets whose servers differ in speed and whose zones differ in
// load, where the nearest server is not always the fastest.
package placement
