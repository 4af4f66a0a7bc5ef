package routing

// Scope tells how far away the chosen upstream is.
type Scope string

// The scopes, nearest first.
const (
	ScopeZone   Scope = "zone"
	ScopeRegion Scope = "region"
	ScopeRemote Scope = "remote"
)
