package control

import (
	"sync"

	"github.com/filbertpier/filbertpier/snapshot"
)

// transferShard holds part of the transfers.
type transferShard struct {
	// mu guards byID and the transfers in it.
	mu   sync.Mutex
	byID map[snapshot.ID]*transfer
}
