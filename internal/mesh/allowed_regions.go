package mesh

import (
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/placement"
)

// evacuatedRetryAfter is the Retry-After of calls that have no upstream because zones
// are evacuated, without its random part. Evacuations last for seconds at least.
const evacuatedRetryAfter = time.Second

// currentRegions returns the regions in which a call may run by the configuration
// version that is current now, which may be later than that at its arrival.
func (s *Server) currentRegions(q *request) config.RegionSet {
	document := s.cfg.Store.Current().Document
	if document == q.document {
		return q.route.AllowedRegions
	}
	if route, ok := document.Match(stripPort(q.host), q.method, q.path); ok {
		return route.AllowedRegions
	}
	return q.route.AllowedRegions
}

// refuseForeignRegion refuses a call from another node if its route does not allow the
// region of this node by the current configuration version. The sender may have an
// older one.
func (s *Server) refuseForeignRegion(r *http.Request) *result {
	snap := s.cfg.Store.Current()
	if snap == nil {
		return nil
	}
	route, ok := snap.Document.Match(stripPort(r.Host), r.Method, r.URL.Path)
	if !ok || route.AllowedRegions.Allows(s.cfg.Region) {
		return nil
	}
	return notRun(ReasonRegionForbidden, "the route does not allow region "+s.cfg.Region)
}

// noUpstream refuses a call for which no instance can be chosen, with the cause.
func noUpstream(now time.Time, q *request, query *placement.Query) *result {
	switch placement.UnavailableCause(now, query) {
	case placement.CauseRegion:
		return notRun(ReasonRegionForbidden, q.service.Name+" has upstreams in other regions only")
	case placement.CauseEvacuated:
		return evacuated("all zones with upstreams of " + q.service.Name + " are evacuated")
	}
	return notRun(ReasonNoUpstream, q.service.Name)
}

func evacuated(detail string) *result {
	res := notRun(ReasonEvacuated, detail)
	res.expectedWait = evacuatedRetryAfter
	return res
}
