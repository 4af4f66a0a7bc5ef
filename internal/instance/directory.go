package instance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// directoryShards spreads a few hundred services and some thousand instances.
const directoryShards = 32

// goneMemory is how long a lapsed instance stays known, so that its return
// within the grace is seen as such.
const goneMemory = 10 * time.Second

// Directory is the node's list of instances. It is safe for concurrent use.
// Put and Lapse are called by one goroutine at a time.
type Directory struct {
	services [directoryShards]shard
	ids      [directoryShards]idShard
	addrs    [directoryShards]addrShard
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{}
	for i := range directoryShards {
		d.services[i].byService = map[string][]*Instance{}
		d.ids[i].byID = map[string]*Instance{}
		d.addrs[i].byAddr = map[string]*Instance{}
	}
	return d
}

func (d *Directory) serviceShard(name string) *shard {
	return &d.services[xxhash.Sum64String(name)%directoryShards]
}

func (d *Directory) idShard(id string) *idShard {
	return &d.ids[xxhash.Sum64String(id)%directoryShards]
}

func (d *Directory) addrShard(addr string) *addrShard {
	return &d.addrs[xxhash.Sum64String(addr)%directoryShards]
}

// Put stores an instance, replacing what was known under its id. Of two
// instances at one address the one whose entry was written earlier is gone: the
// entry of a crashed upstream stays for some seconds, and calls to it would
// reach the upstream that has its address now, which refuses them.
func (d *Directory) Put(i *Instance) {
	if i.State >= Lapsed {
		d.store(i)
		return
	}
	earlier := d.addrShard(i.Addr).take(i)
	if earlier == i {
		d.store(i.gone())
		return
	}
	d.store(i)
	if earlier != nil && d.Get(earlier.ID) != nil {
		d.store(d.Get(earlier.ID).gone())
	}
}

func (d *Directory) store(i *Instance) {
	old := d.idShard(i.ID).put(i)
	if old != nil && old.Service != i.Service {
		d.serviceShard(old.Service).remove(old.Service, old.ID)
	}
	d.serviceShard(i.Service).put(i)
}

// Lapse records that an instance has no entry any more and is gone after the
// grace. A draining instance is gone at once.
func (d *Directory) Lapse(now time.Time, id string, revision uint64, grace time.Duration) {
	old := d.Get(id)
	if old == nil || old.State >= Lapsed {
		return
	}
	next := *old
	next.StateSince, next.Revision, next.GoneAt = now, revision, now.Add(grace)
	next.State = Lapsed
	if old.State == Draining {
		next.State = Gone
	}
	d.Put(&next)
}

// Get returns the instance with an id, or nil.
func (d *Directory) Get(id string) *Instance { return d.idShard(id).get(id) }

// Service returns the instances of a service, whatever their state. The caller
// must not change the slice.
func (d *Directory) Service(name string) []*Instance { return d.serviceShard(name).service(name) }

// All returns all instances, whatever their state.
func (d *Directory) All() []*Instance {
	var out []*Instance
	for i := range d.ids {
		out = d.ids[i].appendAll(out)
	}
	return out
}

// ByAddr returns the latest instance of a service at an address, or nil. Addresses
// are used again, so an instance that may serve goes before one that may not.
func (d *Directory) ByAddr(now time.Time, service, addr string) *Instance {
	var best *Instance
	for _, i := range d.Service(service) {
		if i.Addr != addr || i.StateAt(now) == Gone {
			continue
		}
		if best == nil || later(i, best) {
			best = i
		}
	}
	return best
}

func later(a, b *Instance) bool {
	if a.StartedAtMs != b.StartedAtMs {
		return a.StartedAtMs > b.StartedAtMs
	}
	return a.Revision > b.Revision
}

// Expire forgets instances that have been gone for a while.
func (d *Directory) Expire(now time.Time) {
	for _, i := range d.All() {
		if i.State >= Lapsed && now.Sub(i.StateSince) > goneMemory {
			d.idShard(i.ID).remove(i.ID)
			d.addrShard(i.Addr).remove(i)
			d.serviceShard(i.Service).remove(i.Service, i.ID)
		}
	}
}
