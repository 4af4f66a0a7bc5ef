// Package platformserver is a stand-in for the platform: a configuration
// service with versioned reads and long watches, and a VM list. Its control
// endpoints let tests publish and switch on outages, staleness, slowness and
// lag. It is used by tests and demonstrations only.
package platformserver
