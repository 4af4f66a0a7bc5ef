package effect

import "github.com/filbertpier/filbertpier/internal/message"

// Send delivers a message to a node at most once, without acknowledgement.
type Send struct {
	// VM is the target's VM id; empty for a seed whose id is not known yet.
	VM string
	// Addr is the target's address for messages between nodes, as host:port.
	Addr string
	// CrossRegion is set if the target is in another region.
	CrossRegion bool
	Message     message.Message
}

func (Send) effect() {}
