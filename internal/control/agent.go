package control

import (
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/internal/control/state"
	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Agent runs the control logic of one node. All methods are safe for concurrent
// use; none blocks on I/O. The caller must carry out the returned effects;
// messages to one peer must be sent in the order returned.
type Agent struct {
	cfg             Config
	self            *state.Self
	table           *member.Table
	store           *snapshot.Store
	rng             *state.Random
	liveness        *state.Liveness
	transfers       *transfers
	pullResponses   state.PullResponseCache
	refusedVersions *state.RefusedVersions
	zoneContacts    state.ZoneContacts
	updates         *state.UpdateQueue
	platform        platformState
	join            state.Join

	// lastReadyVersion is the version in force at the last check that found the
	// node ready.
	lastReadyVersion atomic.Pointer[snapshot.ID]

	ticks atomic.Uint64
	// lastTick is the Unix time of the last tick in nanoseconds.
	lastTick atomic.Int64
}

// New returns an agent that applies adopted versions to store.
func New(cfg Config, store *snapshot.Store) *Agent {
	cfg = cfg.withDefaults()
	return &Agent{
		cfg:             cfg,
		self:            state.NewSelf(cfg.Self),
		table:           member.NewTable(),
		store:           store,
		rng:             state.NewRandom(cfg.Seed),
		liveness:        state.NewLiveness(),
		transfers:       newTransfers(),
		refusedVersions: state.NewRefusedVersions(),
		updates:         state.NewUpdateQueue(),
	}
}

// Start begins to join the fleet and returns the first effects, among them the
// first tick timer.
func (a *Agent) Start(now time.Time) []effect.Effect {
	var out effects
	a.table.Apply(now, a.self.Get())
	a.lastTick.Store(now.UnixNano())
	a.startJoin(now, &out)
	out.startTimer(a.rng.Jitter(a.cfg.HeartbeatInterval), effect.Timer{Kind: effect.TimerTick})
	return out
}

// HandleMessage acts on a message from a peer and returns the effects, such as
// replies.
func (a *Agent) HandleMessage(now time.Time, msg message.Message) []effect.Effect {
	var out effects
	switch m := msg.(type) {
	case *message.Heartbeat:
		a.onHeartbeat(now, m, &out)
	case *message.Announce:
		a.liveness.RecordContact(m.VM, now)
		a.fetchVersion(now, m.ID, m.VM, &out)
	case *message.PullRequest:
		a.liveness.RecordContact(m.VM, now)
		a.onPullRequest(m, &out)
	case *message.PullResponse:
		a.liveness.RecordContact(m.VM, now)
		a.onPullResponse(now, m, &out)
	case *message.MemberUpdates:
		a.liveness.RecordContact(m.VM, now)
		a.mergeMembers(now, m.VM, m.Members, &out)
	case *message.TableDigests:
		a.liveness.RecordContact(m.VM, now)
		a.onTableDigests(m, &out)
	case *message.JoinRequest:
		a.onJoinRequest(now, m, &out)
	case *message.JoinResponse:
		a.onJoinResponse(now, m, &out)
	}
	a.completeJoin(now, &out)
	a.checkServing(now)
	return out
}

// HandleTimer acts on a timer that an earlier effect started and that has
// fired.
func (a *Agent) HandleTimer(now time.Time, t effect.Timer) []effect.Effect {
	var out effects
	switch t.Kind {
	case effect.TimerTick:
		a.onTick(now, &out)
	case effect.TimerTransfer:
		a.onTransferTimer(now, t.SnapshotID, &out)
	case effect.TimerSuspicion:
		a.onSuspicionTimer(now, t, &out)
	case effect.TimerFlushUpdates:
		a.flushUpdates(now, &out)
	case effect.TimerJoin:
		a.onJoinTimer(now, &out)
	case effect.TimerFallback:
		a.onFallbackTimer(now, &out)
	}
	a.completeJoin(now, &out)
	a.checkServing(now)
	return out
}

// HandlePlatform acts on the outcome of a platform read that an earlier effect
// started: a value or an error.
func (a *Agent) HandlePlatform(now time.Time, ans effect.PlatformResult) []effect.Effect {
	var out effects
	switch ans.Read.Query {
	case effect.QueryManifest:
		a.onManifestAnswer(now, ans, &out)
	case effect.QuerySection:
		a.onSectionAnswer(now, ans, &out)
	case effect.QueryVMList:
		a.onVMListAnswer(now, ans, &out)
	}
	a.completeJoin(now, &out)
	a.checkServing(now)
	return out
}

// Leave announces that the node is about to stop. The agent keeps answering
// peers until the process ends.
func (a *Agent) Leave(now time.Time) []effect.Effect {
	var out effects
	m := a.self.Leave(now.UnixMilli())
	a.broadcastMember(now, m, &out)
	a.flushUpdates(now, &out)
	return out
}

// CatchUp asks peers for a version that a call requires.
func (a *Agent) CatchUp(now time.Time, id snapshot.ID) []effect.Effect {
	var out effects
	a.fetchVersion(now, id, "", &out)
	return out
}

// Ready reports whether the node may serve calls: it has joined, and it was not
// paused for so long that its state may be out of date.
func (a *Agent) Ready(now time.Time) bool {
	return a.join.IsReady() && !a.wasPaused(now)
}

// Table returns the node's member table.
func (a *Agent) Table() *member.Table { return a.table }

// Store returns the versions that the node holds.
func (a *Agent) Store() *snapshot.Store { return a.store }

// Self returns the node's own record.
func (a *Agent) Self() member.Member { return a.self.Get() }

// MonitoredMembers returns the members that this node monitors.
func (a *Agent) MonitoredMembers(now time.Time) []member.Member {
	return a.monitoredMembers(a.table.View(now), a.self.Get())
}

// RefusedVersions returns the versions refused for invalid content, each with its
// error.
func (a *Agent) RefusedVersions() map[snapshot.ID]error { return a.refusedVersions.All() }

// PlatformReadAge returns the time since the last successful platform read by
// any node that this node knows of; ok is false if it knows of none.
func (a *Agent) PlatformReadAge(now time.Time) (age time.Duration, ok bool) {
	return a.platform.lastReadAge(now)
}

// wasPaused reports whether the last tick is so long ago that the process must
// have been paused.
func (a *Agent) wasPaused(now time.Time) bool {
	last := time.Unix(0, a.lastTick.Load())
	return now.Sub(last) > maxTickGapIntervals*a.cfg.HeartbeatInterval
}
