package reports

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/alitto/pond/v2"

	"github.com/filbertpier/filbertpier/internal/quarantine"
	"github.com/filbertpier/filbertpier/internal/replica/peers"
)

// maxConcurrentCalls bounds the messages that are under way at once.
const maxConcurrentCalls = 64

// Sender sends messages to the other nodes of a service. It is safe for concurrent
// use.
type Sender struct {
	// peers returns the control addresses of the other nodes of the service.
	peers func() []string
	pool  pond.Pool
}

// NewSender returns a sender. peers returns the control addresses of the other nodes
// of the service; it must be safe for concurrent use.
func NewSender(peers func() []string) *Sender {
	return &Sender{peers: peers, pool: pond.NewPool(maxConcurrentCalls)}
}

// Report reports the suspects of a crash to all nodes and returns those that have
// succeeded at one of them since they were last suspect. It returns when all nodes
// have responded or ctx ends.
func (s *Sender) Report(ctx context.Context, suspects []quarantine.Fingerprint) map[quarantine.Fingerprint]bool {
	var mu sync.Mutex
	succeeded := map[quarantine.Fingerprint]bool{}
	s.toAll(func(addr string) {
		var response crashResponse
		if peers.Call(ctx, addr, suspectMethod, crashReport{Suspects: suspects}, &response) != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, f := range response.Succeeded {
			succeeded[f] = true
		}
	})
	mu.Lock()
	defer mu.Unlock()
	return succeeded
}

// Share passes quarantined fingerprints on to all nodes. It returns when all have
// responded or ctx ends.
func (s *Sender) Share(ctx context.Context, list []quarantine.Quarantined) {
	s.toAll(func(addr string) { share(ctx, addr, list) })
}

// ShareWithOne passes quarantined fingerprints on to a random node: it may have
// started, or have been out of reach, since they were reported.
func (s *Sender) ShareWithOne(ctx context.Context, list []quarantine.Quarantined) {
	if addrs := s.peers(); len(addrs) > 0 {
		share(ctx, addrs[rand.IntN(len(addrs))], list)
	}
}

// toAll calls send for each node and waits for the calls.
func (s *Sender) toAll(send func(addr string)) {
	group := s.pool.NewGroup()
	for _, addr := range s.peers() {
		group.Submit(func() { send(addr) })
	}
	// Nodes that do not respond learn of the entries later, by ShareWithOne.
	_ = group.Wait()
}

func share(ctx context.Context, addr string, list []quarantine.Quarantined) {
	var message quarantineList
	for _, q := range list[:min(len(list), maxFingerprints)] {
		message.Entries = append(message.Entries, quarantineEntry{Fingerprint: q.Fingerprint, RemainingMs: q.Remaining.Milliseconds()})
	}
	var none struct{}
	_ = peers.Call(ctx, addr, shareMethod, message, &none)
}
