// Package platform is a read-only client of the platform: of its configuration
// service, which has versioned values and long-polling watches, and of its list
// of VMs.
package platform
