package snapshot

import "fmt"

// NotNewerError reports a snapshot that the store refused because the current
// one is the same or newer.
type NotNewerError struct {
	Current ID
	Refused ID
}

// Error gives both version numbers, which may be equal.
func (e *NotNewerError) Error() string {
	return fmt.Sprintf("version %d is not newer than the current version %d", e.Refused.Version, e.Current.Version)
}
