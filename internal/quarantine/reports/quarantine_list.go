package reports

// quarantineList lists quarantined fingerprints.
type quarantineList struct {
	Entries []quarantineEntry `json:"entries"`
}
