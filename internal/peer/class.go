package peer

import "github.com/filbertpier/filbertpier/internal/message"

// class separates small control messages from large ones, which use a connection
// of their own.
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
