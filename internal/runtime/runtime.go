package runtime

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/internal/control"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/platform"
	"github.com/filbertpier/filbertpier/internal/telemetry"
	"github.com/filbertpier/filbertpier/snapshot"
)

const (
	// workers is the number of goroutines that handle the messages of one node.
	// A few are enough, since the control logic never blocks.
	workers = 4
	// workerQueueSize is the number of messages that may wait for a worker.
	// Further ones are dropped, as they are when a connection's send queue is
	// full.
	workerQueueSize = 4096
	// platformWorkers is the limit of concurrent platform reads of one node.
	platformWorkers = 16
)

// Runtime drives an agent in real time, or in virtual time inside a
// testing/synctest bubble. It is safe for concurrent use.
type Runtime struct {
	agent *control.Agent
	// sender is set before started.
	sender     Sender
	started    atomic.Bool
	platform   platform.Client
	log        hclog.Logger
	metrics    *telemetry.Metrics
	ctx        context.Context
	cancel     context.CancelFunc
	workerPool pond.Pool
	readPool   pond.Pool
	timers     timerSet
	stopOnce   sync.Once
}

// New returns a runtime that is not started.
func New(agent *control.Agent, client platform.Client, log hclog.Logger, metrics *telemetry.Metrics) *Runtime {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runtime{
		agent: agent, platform: client, log: log, metrics: metrics,
		ctx: ctx, cancel: cancel,
		workerPool: pond.NewPool(workers, pond.WithQueueSize(workerQueueSize), pond.WithNonBlocking(true)),
		readPool:   pond.NewPool(platformWorkers),
		timers:     newTimerSet(),
	}
}

// Start lets the agent begin to join the fleet. Messages are sent through sender.
func (r *Runtime) Start(sender Sender) {
	r.sender = sender
	r.started.Store(true)
	r.apply(r.agent.Start(time.Now()))
}

// Receive queues a message from a peer. It never blocks: a message that does
// not fit in the queue, or that arrives before Start, is dropped and counted.
func (r *Runtime) Receive(m message.Message) {
	if !r.started.Load() {
		r.metrics.Dropped()
		return
	}
	if _, ok := r.workerPool.TrySubmit(func() { r.apply(r.agent.HandleMessage(time.Now(), m)) }); !ok {
		r.metrics.Dropped()
	}
}

// Leave announces that the node is about to stop.
func (r *Runtime) Leave() { r.apply(r.agent.Leave(time.Now())) }

// CatchUp asks peers for a version that a call requires.
func (r *Runtime) CatchUp(id snapshot.ID) { r.apply(r.agent.CatchUp(time.Now(), id)) }

// Send sends a message on behalf of another part of the node. It never blocks.
// It must not be called before Start.
func (r *Runtime) Send(e effect.Send) { r.apply([]effect.Effect{e}) }

// Stop stops timers, reads and workers, and waits for those that are running.
// Repeated calls of Stop have no effect.
func (r *Runtime) Stop() {
	r.stopOnce.Do(func() {
		r.cancel()
		r.timers.stop()
		r.readPool.StopAndWait()
		r.workerPool.StopAndWait()
	})
}

func (r *Runtime) apply(effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.Send:
			r.sender.Send(e)
		case effect.StartTimer:
			r.startTimer(e)
		case effect.ReadPlatform:
			r.startRead(e)
		case effect.Log:
			r.logEvent(e)
		}
	}
}

func (r *Runtime) startTimer(e effect.StartTimer) {
	r.timers.start(e.Delay, func() {
		r.apply(r.agent.HandleTimer(time.Now(), e.Timer))
	})
}

func (r *Runtime) startRead(e effect.ReadPlatform) {
	if r.ctx.Err() != nil {
		return
	}
	r.metrics.PlatformReads.WithLabelValues(e.Query.String()).Inc()
	_ = r.readPool.Go(func() {
		result := read(r.ctx, r.platform, e)
		r.metrics.PlatformValueBytes.Add(float64(len(result.Value)))
		if r.ctx.Err() == nil {
			r.apply(r.agent.HandlePlatform(time.Now(), result))
		}
	})
}

func (r *Runtime) logEvent(e effect.Log) {
	r.metrics.ControlDecisions.WithLabelValues(string(e.Event)).Inc()
	if e.Event == effect.EventVersionAdopted {
		r.metrics.Version.Set(float64(r.agent.Store().CurrentID().Version))
	}
	r.log.Info(string(e.Event), e.Fields...)
}
