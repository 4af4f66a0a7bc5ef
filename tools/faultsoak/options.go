package main

import "time"

// options configures one run.
type options struct {
	Bin string
	// Logs is the folder for the nodes' logs; empty keeps none.
	Logs string
	Seed uint64
	VMs  int
	// Duration is how long faults are injected.
	Duration time.Duration
	// Subnet is the second octet of the loopback addresses.
	Subnet int
}
