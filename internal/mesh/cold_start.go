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
	// lostProbeInterval replaces it while the upstream may have started again.
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
		s.probeColdStart(ctx)
		interval := coldProbeInterval
		if s.coldStart.Lost() {
			interval = lostProbeInterval
		}
		timer.Reset(interval)
	}
}

// probeColdStart makes one health check if the service limits the calls to cold
// upstreams, and applies the result to the waiting calls.
func (s *Server) probeColdStart(ctx context.Context) {
	service, ok := s.ownService()
	if !ok || service.ColdCallsPerSecond <= 0 || service.HealthPath == "" {
		return
	}
	now := time.Now()
	self := s.cfg.Directory.ByAddr(now, s.cfg.Service, s.cfg.UpstreamAddr)
	if self == nil {
		return
	}
	if self.Evacuated {
		// It gets no calls meanwhile and may be cold at the end.
		s.coldStart.ObserveLost(now)
		return
	}
	wasCold := s.isCold(now, self, service)
	remaining, err := s.health.Probe(ctx, service.HealthPath)
	if err != nil {
		s.cfg.Log.Debug("health check of the upstream", "error", err.Error())
	} else {
		s.coldStart.ObserveHealth(now, remaining)
	}
	if cold := s.isCold(time.Now(), self, service); cold != wasCold {
		s.cfg.Log.Info("cold start of the upstream", "instance", self.ID, "cold", cold, "remaining_ms", remaining.Milliseconds())
	}
	s.updateLimits(self)
}

func (s *Server) isCold(now time.Time, self *instance.Instance, service *config.Service) bool {
	return s.coldStart.Cold(now, self.ColdUntil, time.Duration(service.ColdStartMs)*time.Millisecond)
}

// callsPerSecond returns the limit of calls per second to the upstream beside the node:
// the one that it names or, if it is lower, the one of its cold start; zero if there is
// none.
func (s *Server) callsPerSecond(self *instance.Instance, service *config.Service) float64 {
	named := s.callLimit.Get(self)
	cold := service.ColdCallsPerSecond
	if cold <= 0 || named > 0 && named < cold || !s.isCold(time.Now(), self, service) {
		return named
	}
	return cold
}
