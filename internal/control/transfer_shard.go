package control

import (
	"sync"

	"github.com/filbertpier/filbertpier/snapshot"
)

// transferShard is one shard of transfers.
type transferShard struct {
	// mu guards byID and the transfers in it.
	mu   sync.Mutex
	byID map[snapshot.ID]*transfer
}
