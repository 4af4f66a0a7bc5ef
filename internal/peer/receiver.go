package peer

import "github.com/filbertpier/filbertpier/internal/message"

// Receiver handles a message from a peer. It is called from several goroutines
// concurrently, one for each incoming connection.
type Receiver func(message.Message)
