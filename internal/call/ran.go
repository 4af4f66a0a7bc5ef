package call

// Ran tells whether a call ran on an upstream.
type Ran string

// The answers. RanNo is given only when it is certain.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)
