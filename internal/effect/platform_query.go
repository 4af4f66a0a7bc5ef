package effect

// PlatformQuery selects what to read from the platform.
type PlatformQuery uint8

// What can be read from the platform.
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
