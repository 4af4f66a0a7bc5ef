package manifest

// SectionRef identifies the content of one section by its digest.
type SectionRef struct {
	Name   string `json:"name"`
	Owner  string `json:"owner"`
	Digest Digest `json:"digest"`
	// Size is the length of the section in bytes.
	Size int `json:"size"`
}
