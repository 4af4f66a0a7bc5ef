package virtual

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/message"
)

// Network is a fake network between the nodes. It is not safe for concurrent
// use.
type Network struct {
	fleet *Fleet
	rng   *rand.Rand
	// Partitioned reports whether messages from one node to another are lost in a
	// network partition; nil means that there is none.
	Partitioned func(from, to *Node) bool
	// LossRate is the probability that a message is lost.
	LossRate float64
	// CountBytes makes the network encode each message as JSON to count its
	// bytes.
	CountBytes bool
	// Messages and Bytes count the sent messages and their bytes by kind,
	// including lost messages. Bytes stays empty unless CountBytes is set.
	Messages map[message.Kind]int
	Bytes    map[message.Kind]int
	// CrossRegionBytes is the part of Bytes that was sent between regions.
	CrossRegionBytes map[message.Kind]int
}

func newNetwork(f *Fleet) *Network {
	return &Network{
		fleet: f, rng: rand.New(rand.NewPCG(f.Options.Seed, 1)),
		Messages: map[message.Kind]int{}, Bytes: map[message.Kind]int{}, CrossRegionBytes: map[message.Kind]int{},
	}
}

// TotalCrossRegionBytes returns the bytes of all kinds that were sent between
// regions. It is zero unless CountBytes is set.
func (w *Network) TotalCrossRegionBytes() int {
	total := 0
	for _, n := range w.CrossRegionBytes {
		total += n
	}
	return total
}

func (w *Network) send(from *Node, s effect.Send) {
	to, ok := w.fleet.byAddr[s.Addr]
	if !ok {
		return
	}
	w.countMessage(from, to, s)
	if !to.Running() || w.Partitioned != nil && w.Partitioned(from, to) || w.rng.Float64() < w.LossRate {
		return
	}
	agent := to.Agent
	w.fleet.Clock.AfterFunc(w.delay(from, to), func() {
		to.run(agent, func() []effect.Effect { return agent.HandleMessage(w.fleet.Clock.Now(), s.Message) })
	})
}

func (w *Network) delay(from, to *Node) time.Duration {
	o := w.fleet.Options
	switch {
	case from.Record.Region != to.Record.Region:
		return o.InterRegionDelay
	case from.Record.Zone != to.Record.Zone:
		return o.InterZoneDelay
	default:
		return o.IntraZoneDelay
	}
}

func (w *Network) countMessage(from, to *Node, s effect.Send) {
	kind := s.Message.Kind()
	w.Messages[kind]++
	if !w.CountBytes {
		return
	}
	raw, err := json.Marshal(s.Message)
	if err != nil {
		return
	}
	w.Bytes[kind] += len(raw)
	if from.Record.Region != to.Record.Region {
		w.CrossRegionBytes[kind] += len(raw)
	}
}
