package manifest

import "fmt"

// Reasons of a SignatureError.
const (
	SignatureMissing = "missing"
	SignatureInvalid = "invalid or signed with an unknown key"
)

// SignatureError reports that a lead has not accepted a version.
type SignatureError struct {
	Lead   Lead
	KeyID  string
	Reason string
}

func (e *SignatureError) Error() string {
	return fmt.Sprintf("signature of the %s lead (key %q): %s", e.Lead, e.KeyID, e.Reason)
}
