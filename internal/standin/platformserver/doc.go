// Package platformserver is a stand-in for the platform: a configuration
// service with versioned reads and long-polling watches, and a VM list. Its
// control endpoints publish values and inject outages, stale reads, slow
// responses and a lagging VM list. Only tests, benchmarks and demonstrations use
// it.
package platformserver
