package refusal

// Values of Error.Reason. Tools match them.
const (
	ReasonVersionNotGreater = "version-not-greater"
	ReasonVersionRequired   = "version-required"
	ReasonOtherContent      = "other-content"
	ReasonForeignSection    = "foreign-section"
	ReasonSectionMissing    = "section-missing"
	ReasonSectionName       = "section-name"
	ReasonKeyFileMode       = "key-file-mode"
	ReasonNodeURL           = "node-url"
)

// Error reports an operation that a rule forbids, such as signing a version that
// is not greater than the previous one.
type Error struct {
	// Reason is one of the Reason constants.
	Reason string
	Detail string
	// Remedy says how to resolve the refusal.
	Remedy string
}

// Error contains the reason, the detail and the remedy.
func (e *Error) Error() string {
	return "refused (" + e.Reason + "): " + e.Detail + "; " + e.Remedy
}
