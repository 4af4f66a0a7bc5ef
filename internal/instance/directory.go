package instance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// directoryShards is the number of shards of each index. A directory holds a
// few hundred services and some thousand instances.
const directoryShards = 32

// goneRetention is how long a lapsed or gone instance stays in the directory
// after StateSince. It is longer than any grace period, so that an entry that
// returns within the grace period is recognized.
const goneRetention = 10 * time.Second

// Directory indexes the published instances by service, id and address. It is
// safe for concurrent use.
type Directory struct {
	// changes serializes the methods that change the directory, which each
	// take the locks of several shards in turn, and guards leaving, withdrawn and
	// evacuated.
	changes sync.Mutex
	// evacuated holds the zones whose instances get no calls.
	evacuated map[string]evacuation
	// withdrawn holds the instances that the platform listed as draining or removed.
	withdrawn withdrawals
	// leaving holds the instances, by id, that said that they leave. An instance
	// stays here after it was removed from the shards.
	leaving  map[string]leavingMark
	services [directoryShards]serviceShard
	ids      [directoryShards]idShard
	addrs    [directoryShards]addrShard
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{leaving: map[string]leavingMark{}, evacuated: map[string]evacuation{}, withdrawn: newWithdrawals()}
	for i := range directoryShards {
		d.services[i].byService = map[string][]*Instance{}
		d.ids[i].byID = map[string]*Instance{}
		d.addrs[i].byAddr = map[string]*Instance{}
	}
	return d
}

func (d *Directory) serviceShard(name string) *serviceShard {
	return &d.services[xxhash.Sum64String(name)%directoryShards]
}

func (d *Directory) idShard(id string) *idShard {
	return &d.ids[xxhash.Sum64String(id)%directoryShards]
}

func (d *Directory) addrShard(addr string) *addrShard {
	return &d.addrs[xxhash.Sum64String(addr)%directoryShards]
}

// Put stores an instance and replaces any instance with the same id. If two
// instances have the same address, the one with the lower revision becomes Gone,
// because the platform lists a crashed upstream for some seconds more: calls to it
// would reach the upstream that now uses the address, which refuses them. Between
// entries of two eras of the platform the later start decides. An entry that may be from
// a copy of the platform does not bring an instance back that had left.
func (d *Directory) Put(i *Instance) {
	d.changes.Lock()
	defer d.changes.Unlock()
	i = d.withdrawn.admit(i)
	if old := d.Get(i.ID); old != nil {
		i = i.withoutSecondColdStart(old)
	}
	d.put(i)
}

// put implements Put. The caller holds changes.
func (d *Directory) put(i *Instance) {
	_, evacuated := d.evacuated[i.Zone]
	i = i.withEvacuated(evacuated)
	if mark, ok := d.leaving[i.ID]; ok && i.State == Ready && mark.startedAtMs == i.StartedAtMs {
		i = i.asDraining()
	}
	if i.State >= Lapsed {
		d.store(i)
		return
	}
	superseded := d.addrShard(i.Addr).claim(i)
	if superseded == i {
		d.store(i.asGone())
		return
	}
	d.store(i)
	if superseded != nil && d.Get(superseded.ID) != nil {
		d.store(d.Get(superseded.ID).asGone())
	}
}

func (d *Directory) store(i *Instance) {
	old := d.idShard(i.ID).put(i)
	if old != nil && old.Service != i.Service {
		d.serviceShard(old.Service).remove(old.Service, old.ID)
	}
	d.serviceShard(i.Service).put(i)
}

// Withdraw does what Lapse does for an entry that the platform removed while it was
// stable. An entry of the same start in a later era, from a copy of the platform, does not
// count at once then.
func (d *Directory) Withdraw(now time.Time, id string, at revision.Revision, grace time.Duration) {
	d.changes.Lock()
	defer d.changes.Unlock()
	if i := d.listedBefore(id, at); i != nil {
		d.withdrawn.remove(now, i, at.Era)
		d.lapse(now, i, at, grace)
	}
}

// Lapse records that the platform removed the entry of an instance at a revision. The
// instance becomes gone after the grace period, or at once if it was draining. The removal
// is ignored if the entry was written again at a later revision.
func (d *Directory) Lapse(now time.Time, id string, at revision.Revision, grace time.Duration) {
	d.changes.Lock()
	defer d.changes.Unlock()
	if i := d.listedBefore(id, at); i != nil {
		d.lapse(now, i, at, grace)
	}
}

// lapse implements Lapse. The caller holds changes.
func (d *Directory) lapse(now time.Time, old *Instance, at revision.Revision, grace time.Duration) {
	d.withdrawn.unlist(old.ID)
	if old.State >= Lapsed {
		return
	}
	next := *old
	next.StateSince, next.Revision, next.GoneAt = now, at, now.Add(grace)
	next.State = Lapsed
	if old.State == Draining {
		next.State = Gone
	}
	d.put(&next)
}

// listedBefore returns the instance with an id unless its entry is later than a revision;
// nil if there is none.
func (d *Directory) listedBefore(id string, at revision.Revision) *Instance {
	i := d.Get(id)
	if i == nil || at.Less(i.Revision) {
		return nil
	}
	return i
}

// MarkLeaving records that an instance said in a response that it leaves, and
// reports whether that is new. The instance gets no new calls from then on,
// whatever the platform lists, until it starts again.
func (d *Directory) MarkLeaving(now time.Time, said *Instance) bool {
	d.changes.Lock()
	defer d.changes.Unlock()
	if mark, ok := d.leaving[said.ID]; ok && mark.startedAtMs >= said.StartedAtMs {
		return false
	}
	d.leaving[said.ID] = leavingMark{startedAtMs: said.StartedAtMs, markedAt: now}
	i := d.Get(said.ID)
	if i == nil || i.StartedAtMs != said.StartedAtMs || !i.withEvacuated(false).Serves(now) {
		return true
	}
	next := i.asDraining()
	if i.State == Lapsed {
		next.State = Gone
	}
	next.StateSince = now
	d.put(next)
	return true
}

// Get returns the instance with an id, or nil.
func (d *Directory) Get(id string) *Instance { return d.idShard(id).get(id) }

// Service returns the instances of a service, whatever their state. The caller
// must not change the slice.
func (d *Directory) Service(name string) []*Instance { return d.serviceShard(name).instances(name) }

// All returns all instances, whatever their state.
func (d *Directory) All() []*Instance {
	var out []*Instance
	for i := range d.ids {
		out = d.ids[i].appendAll(out)
	}
	return out
}

// ByAddr returns the most recently started instance of a service at an address,
// or nil. It skips instances that are gone, because addresses are reused.
func (d *Directory) ByAddr(now time.Time, service, addr string) *Instance {
	var best *Instance
	for _, i := range d.Service(service) {
		if i.Addr != addr || i.StateAt(now) == Gone {
			continue
		}
		if best == nil || newer(i, best) {
			best = i
		}
	}
	return best
}

// newer reports whether a started after b; the revision decides between equal
// start times.
func newer(a, b *Instance) bool {
	if a.StartedAtMs != b.StartedAtMs {
		return a.StartedAtMs > b.StartedAtMs
	}
	return b.Revision.Less(a.Revision)
}

// Expire removes lapsed and gone instances whose StateSince is more than
// goneRetention ago, and marks of leaving instances after leavingRetention. It also
// applies what the directory did not follow at once after the platform's return from a
// copy.
func (d *Directory) Expire(now time.Time) {
	d.changes.Lock()
	defer d.changes.Unlock()
	for _, i := range d.withdrawn.takeDue(now) {
		d.put(i)
	}
	d.endDueEvacuations(now)
	for _, i := range d.All() {
		if i.State >= Lapsed && now.Sub(i.StateSince) > goneRetention {
			d.idShard(i.ID).remove(i.ID)
			d.addrShard(i.Addr).remove(i)
			d.serviceShard(i.Service).remove(i.Service, i.ID)
		}
	}
	for id, mark := range d.leaving {
		if now.Sub(mark.markedAt) > leavingRetention {
			delete(d.leaving, id)
		}
	}
	d.withdrawn.expire(now)
}
