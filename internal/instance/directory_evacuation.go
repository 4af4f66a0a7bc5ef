package instance

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// SetEvacuated starts or ends the evacuation of a zone and reports whether that is a
// change. The zone's instances, those listed later included, get no calls meanwhile. If
// the platform no longer lists a request of an earlier era, a copy may lack it: the
// evacuation ends after restoredGrace unless the request is listed again.
func (d *Directory) SetEvacuated(now time.Time, zone string, evacuated bool, at revision.Revision) bool {
	d.changes.Lock()
	defer d.changes.Unlock()
	known, ok := d.evacuated[zone]
	switch {
	case evacuated:
		d.evacuated[zone] = evacuation{era: at.Era}
	case ok && known.era < at.Era:
		d.evacuated[zone] = evacuation{era: at.Era, endsAt: now.Add(restoredGrace)}
		return false
	default:
		delete(d.evacuated, zone)
	}
	if ok == evacuated {
		return false
	}
	d.markEvacuated(zone, evacuated)
	return true
}

// markEvacuated marks the instances of a zone. The caller holds changes.
func (d *Directory) markEvacuated(zone string, evacuated bool) {
	for _, i := range d.All() {
		if i.Zone == zone {
			d.store(i.withEvacuated(evacuated))
		}
	}
}

// EvacuatedZones returns the number of zones that are evacuated.
func (d *Directory) EvacuatedZones() int {
	d.changes.Lock()
	defer d.changes.Unlock()
	return len(d.evacuated)
}

// endDueEvacuations ends the evacuations whose request has not been listed again since the
// platform's return from a copy. The caller holds changes.
func (d *Directory) endDueEvacuations(now time.Time) {
	for zone, e := range d.evacuated {
		if !e.endsAt.IsZero() && !now.Before(e.endsAt) {
			delete(d.evacuated, zone)
			d.markEvacuated(zone, false)
		}
	}
}
