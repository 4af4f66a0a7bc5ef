package feed

import (
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/replica"
	"github.com/filbertpier/filbertpier/snapshot"
)

// Applier decodes published items and applies them to the snapshot store and the
// upstream directory. Apply is called by one goroutine at a time.
type Applier struct {
	decoder   Decoder
	store     *snapshot.Store
	directory *instance.Directory
	log       hclog.Logger
	// Unstable reports whether the platform is in an outage or recovered from
	// one recently. It selects the grace period of removed entries. It may be
	// set before the first Apply; by default it reports false.
	Unstable func(now time.Time) bool
}

const (
	// removedGrace is how long an upstream still gets calls after its entry was
	// removed. It is short, because the removal may be the only notice that the
	// upstream shuts down.
	removedGrace = time.Second
	// expiredGrace replaces removedGrace while the platform is unstable: entries
	// that expired in an outage are restored within two seconds after it.
	expiredGrace = 2200 * time.Millisecond
)

// NewApplier returns an applier that treats the platform as stable until Unstable
// is set.
func NewApplier(d Decoder, store *snapshot.Store, directory *instance.Directory, log hclog.Logger) *Applier {
	return &Applier{decoder: d, store: store, directory: directory, log: log, Unstable: func(time.Time) bool { return false }}
}

// Apply decodes the items of a page and applies them in an order in which no call
// in between lacks an upstream: first the upstreams, then the version that may
// route to them, last the removals of upstreams to which the version before may
// still route. A version that cannot be decoded or is not newer than the current
// one is logged and rejected as a whole. An upstream whose entry cannot be decoded
// is treated as removed.
func (a *Applier) Apply(items []replica.Item) {
	now := time.Now()
	var versions, removals []decodedItem
	for _, item := range items {
		d := decodedItem{change: a.decode(now, item), revision: item.Revision}
		switch {
		case d.change.Instance != nil:
			a.applyInstance(d)
		case d.change.Evacuation != nil:
			a.applyEvacuation(now, d)
		case d.change.Snapshot != nil:
			versions = append(versions, d)
		case d.change.RemovedID != "":
			removals = append(removals, d)
		}
	}
	for _, d := range versions {
		a.applyVersion(d)
	}
	for _, d := range removals {
		a.applyRemoval(now, d)
	}
}

func (a *Applier) decode(now time.Time, item replica.Item) Change {
	change, err := a.decoder.Decode(now, item)
	if err != nil {
		a.log.Warn("published item refused", "key", item.Key, "revision", item.Revision.String(), "error", err.Error())
	}
	return change
}

func (a *Applier) applyInstance(d decodedItem) {
	i := d.change.Instance
	a.directory.Put(i)
	a.log.Info("upstream listed", "instance", i.ID, "service", i.Service, "addr", i.Addr, "state", i.State.String(),
		"slots", i.Slots, "zone", i.Zone, "revision", d.revision.String())
}

func (a *Applier) applyEvacuation(now time.Time, d decodedItem) {
	e := d.change.Evacuation
	if a.directory.SetEvacuated(now, e.Zone, e.Active, d.revision) {
		a.log.Info("evacuation of a zone", "zone", e.Zone, "active", e.Active, "revision", d.revision.String())
	}
}

func (a *Applier) applyVersion(d decodedItem) {
	next := d.change.Snapshot
	if err := a.store.Apply(next); err != nil {
		a.log.Warn("version refused", "version", next.ID.Version, "revision", d.revision.String(), "error", err.Error())
		return
	}
	ranks := []string{}
	for _, r := range next.Document.Ranks() {
		ranks = append(ranks, r.Name)
	}
	a.log.Info("version in force", "version", next.ID.Version, "revision", d.revision.String(), "routes", len(next.Document.Routes()),
		"ranks", strings.Join(ranks, " "))
}

func (a *Applier) applyRemoval(now time.Time, d decodedItem) {
	grace, remove := removedGrace, a.directory.Withdraw
	if a.Unstable(now) {
		grace, remove = expiredGrace, a.directory.Lapse
	}
	remove(now, d.change.RemovedID, d.revision, grace)
	a.log.Info("upstream entry removed", "instance", d.change.RemovedID, "revision", d.revision.String(), "grace_ms", grace.Milliseconds())
}
