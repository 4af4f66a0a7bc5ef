package once

// Response is an upstream's response, kept for repeated calls. It is immutable.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}
