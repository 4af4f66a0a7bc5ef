package effect

import "github.com/filbertpier/filbertpier/internal/platform"

// PlatformResult is the result of a ReadPlatform.
type PlatformResult struct {
	Read ReadPlatform
	// Err is set if the platform could not be read; the fields below it are
	// then zero.
	Err error
	// Unchanged is set if the platform has no revision after AfterRevision.
	// Value and VMs are then empty.
	Unchanged bool
	// Revision is that of the value or list that was read.
	Revision uint64
	// Value holds the bytes of a manifest or section.
	Value []byte
	// VMs holds the VM list.
	VMs []platform.VM
}
