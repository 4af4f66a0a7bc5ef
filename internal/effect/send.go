package effect

import "github.com/filbertpier/filbertpier/internal/message"

// Send delivers a message to a node at most once, without acknowledgement.
type Send struct {
	// VM is empty for a seed whose VM id is not known yet.
	VM string
	// Addr is the peer address.
	Addr string
	// CrossRegion is set if the target is in another region.
	CrossRegion bool
	Message     message.Message
}

func (Send) effect() {}
