package config

// Section is one team's part of the document as it is published: JSON with
// comments. Raw must not be modified.
type Section struct {
	// Name is unique in the document.
	Name string
	// Owner is the team that may edit the section.
	Owner string
	// Raw is the text as its owner wrote it, at most MaxSectionBytes long.
	Raw []byte
}
