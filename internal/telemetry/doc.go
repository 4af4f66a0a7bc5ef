// Package telemetry holds the metrics of a node, the counters of its decisions
// and the checks of its invariants.
package telemetry
