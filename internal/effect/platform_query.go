package effect

// PlatformQuery selects what to read from the platform.
type PlatformQuery uint8

// The queries: the configuration manifest, one of its sections, and the VM list.
const (
	QueryManifest PlatformQuery = iota
	QuerySection
	QueryVMList
)

var queryNames = [...]string{"manifest", "section", "vms"}

// String returns the name used in logs and metrics.
func (q PlatformQuery) String() string {
	if int(q) < len(queryNames) {
		return queryNames[q]
	}
	return "invalid"
}
