package mesh

import (
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/mesh/notice"
)

// observeNotices applies what the upstream beside the node says of itself in a
// response.
func (s *Server) observeNotices(self *instance.Instance, h http.Header) {
	s.observeCallLimit(self, h)
	s.observeLeaving(self, h)
}

// observeLeaving records that an instance leaves if a response of it says so. Each
// node that passes on such a response remembers it: the node beside the upstream
// may restart and forget it.
func (s *Server) observeLeaving(i *instance.Instance, h http.Header) {
	if h.Get(s.cfg.HeaderNames.Leaving) != "" && s.cfg.Directory.MarkLeaving(time.Now(), i) {
		s.cfg.Log.Info("upstream says that it leaves", "instance", i.ID, "service", i.Service)
	}
}

// observeCallLimit applies the limit of calls per second that a response of the
// upstream names, or removes it if the response names none.
func (s *Server) observeCallLimit(self *instance.Instance, h http.Header) {
	limit, err := notice.ParseCallLimit(h.Get(s.cfg.HeaderNames.CallLimit))
	if err != nil {
		s.cfg.Log.Warn("limit named by the upstream refused", "instance", self.ID, "error", err.Error())
		return
	}
	if s.callLimit.Set(self, limit) {
		s.updateLimits(self)
		s.cfg.Log.Info("upstream names a limit", "instance", self.ID, "calls_per_second", limit)
	}
}
