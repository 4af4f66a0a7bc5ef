package sections

// OwnedSection is an entry of an owners file.
type OwnedSection struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
}
