package mesh

import (
	"context"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/instance"
)

const (
	// coldProbeInterval is how often the upstream's health endpoint is asked whether it
	// is cold, for services that limit the calls to cold upstreams.
	coldProbeInterval = 500 * time.Millisecond
	// noProbeInterval is how often the configuration is looked at meanwhile for services
	// without such a limit.
	noProbeInterval = 2 * time.Second
	// lostProbeInterval replaces coldProbeInterval while the upstream may have started again.
	lostProbeInterval = 100 * time.Millisecond
)

// ownService returns the service of the upstream beside the node in the current
// configuration version; false if there is none.
func (s *Server) ownService() (*config.Service, bool) {
	snap := s.cfg.Store.Current()
	if snap == nil {
		return nil, false
	}
	return snap.Document.Service(s.cfg.Service)
}

// watchColdStart asks the upstream's health endpoint whether it is cold until ctx ends.
// A published entry tells it only seconds later.
func (s *Server) watchColdStart(ctx context.Context) {
	defer s.health.Close()
	timer := time.NewTimer(lostProbeInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(s.probeColdStart(ctx))
	}
}

// probeColdStart makes one health check if the service limits the calls to cold
// upstreams, and returns after which time to call it again.
func (s *Server) probeColdStart(ctx context.Context) time.Duration {
	service, ok := s.ownService()
	switch {
	case !ok:
		return lostProbeInterval
	case service.ColdCallsPerSecond <= 0 || service.HealthPath == "":
		return noProbeInterval
	}
	now := time.Now()
	self := s.cfg.Directory.ByAddr(now, s.cfg.Service, s.cfg.UpstreamAddr)
	switch {
	case self == nil:
		return lostProbeInterval
	case self.Evacuated:
		// It gets no calls meanwhile and may be cold at the end.
		s.coldStart.ObserveLost(now)
		return lostProbeInterval
	}
	s.checkColdStart(ctx, now, self, service)
	if s.coldStart.Lost() {
		return lostProbeInterval
	}
	return coldProbeInterval
}

// checkColdStart makes one health check and applies the result to the waiting calls.
func (s *Server) checkColdStart(ctx context.Context, now time.Time, self *instance.Instance, service *config.Service) {
	wasCold := s.isCold(now, self, service)
	remaining, err := s.health.Probe(ctx, service.HealthPath)
	if err != nil {
		s.cfg.Log.Debug("health check of the upstream", "error", err.Error())
	} else {
		s.coldStart.ObserveHealth(now, remaining)
	}
	cold := s.isCold(time.Now(), self, service)
	s.cfg.Metrics.setUpstreamCold(cold)
	if cold != wasCold {
		s.cfg.Log.Info("cold start of the upstream", "instance", self.ID, "cold", cold, "remaining_ms", remaining.Milliseconds())
	}
	s.updateLimits(self)
}

func (s *Server) isCold(now time.Time, self *instance.Instance, service *config.Service) bool {
	return s.coldStart.Cold(now, self.ColdUntil, time.Duration(service.ColdStartMs)*time.Millisecond)
}

// callsPerSecond returns the limit of calls per second to the upstream beside the node:
// the one that it names or, if it is lower, the one of its cold start; zero if there is
// none. service is nil if the current configuration version lacks it.
func (s *Server) callsPerSecond(self *instance.Instance, service *config.Service) float64 {
	named := s.callLimit.Get(self)
	if service == nil || service.ColdCallsPerSecond <= 0 || !s.isCold(time.Now(), self, service) {
		return named
	}
	if named > 0 {
		return min(named, service.ColdCallsPerSecond)
	}
	return service.ColdCallsPerSecond
}
