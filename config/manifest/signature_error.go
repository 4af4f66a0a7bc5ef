package manifest

import "fmt"

// Values of SignatureError.Reason.
const (
	SignatureMissing = "missing"
	SignatureInvalid = "invalid or signed with an unknown key"
)

// SignatureError reports that a lead's signature of a version is missing or
// invalid.
type SignatureError struct {
	Lead Lead
	// KeyID is empty if the signature is missing.
	KeyID  string
	Reason string
}

// Error names the lead, the key and the reason.
func (e *SignatureError) Error() string {
	return fmt.Sprintf("signature of the %s lead (key %q): %s", e.Lead, e.KeyID, e.Reason)
}
