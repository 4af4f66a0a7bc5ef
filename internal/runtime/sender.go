package runtime

import "github.com/filbertpier/filbertpier/internal/effect"

// Sender delivers messages to peers. Send must not block and is called from
// several goroutines at once.
type Sender interface {
	Send(effect.Send)
}
