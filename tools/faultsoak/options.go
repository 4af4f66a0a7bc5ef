package main

import "time"

// options holds the settings of one run.
type options struct {
	BinDir string
	// LogDir is the folder for the nodes' logs. If empty, they are discarded.
	LogDir string
	Seed   uint64
	VMs    int
	// Duration is how long faults are injected.
	Duration time.Duration
	// Subnet is the second octet of the loopback addresses. Concurrent runs need
	// different ones.
	Subnet int
}
