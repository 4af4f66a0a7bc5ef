package once

// Answer is an upstream's answer as it is kept for repeated calls. It is
// immutable.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}
