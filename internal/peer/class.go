package peer

import "github.com/filbertpier/filbertpier/internal/message"

// class separates small from bulky messages.
type class uint8

const (
	classControl class = iota
	classBulk
)

func classOf(k message.Kind) class {
	if k.Bulk() {
		return classBulk
	}
	return classControl
}
