package sections

// OwnedSection is one entry of Owners.
type OwnedSection struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
}
