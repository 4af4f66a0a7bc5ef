package member

// Status is the state of a member as its peers see it. At equal boot and
// incarnation a greater status takes precedence.
type Status uint8

// Statuses in order of precedence, lowest first.
const (
	Alive Status = iota
	Suspect
	Leaving
	Dead
)

var statusNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the lower-case name.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "invalid"
}
