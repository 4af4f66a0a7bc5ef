package peer

import "github.com/filbertpier/filbertpier/internal/message"

// Receiver handles a message from a peer. It is called from several goroutines
// at once.
type Receiver func(message.Message)
