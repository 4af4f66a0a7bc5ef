package ctl

import "io"

// Result is what an operation returns. Its JSON form is stable for tools; Text
// writes it for people.
type Result interface {
	Text(w io.Writer) error
}
