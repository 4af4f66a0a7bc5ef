package refusal

// Reasons of a Error.
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

// Error reports an operation that the rules of publication forbid.
type Error struct {
	// Reason is stable, for tools.
	Reason string
	Detail string
	// Remedy tells what to do instead.
	Remedy string
}

func (e *Error) Error() string {
	return "refused (" + e.Reason + "): " + e.Detail + "; " + e.Remedy
}
