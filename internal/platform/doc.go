// Package platform reads the platform: a configuration service with versioned
// values and long watches, and the list of VMs. Nothing is ever written.
package platform
