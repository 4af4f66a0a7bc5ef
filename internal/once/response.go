package once

// Response is an upstream's answer as it is kept for repeated calls. It is
// immutable.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}
