package snapshot

import "fmt"

// NotNewerError reports a snapshot that was refused because the store already
// holds the same or a newer one.
type NotNewerError struct {
	Current ID
	Refused ID
}

func (e *NotNewerError) Error() string {
	return fmt.Sprintf("version %d is not newer than version %d in force", e.Refused.Version, e.Current.Version)
}
