package ctl

import "io"

// Result is what an operation returns. Tools rely on its JSON form, which stays
// stable; Text writes it for people.
type Result interface {
	Text(w io.Writer) error
}
