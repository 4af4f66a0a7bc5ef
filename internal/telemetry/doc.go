// Package telemetry holds the metrics of a node, its log writers and the checks
// of its invariants.
package telemetry
