package dataplane

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/once"
)

// issueKey serves a request for an idempotency key. It chooses the owner from
// the node's own view of the fleet, without asking other nodes.
func (s *Server) issueKey(now time.Time, x *exchange) error {
	if x.r.Method != http.MethodPost {
		return call.NewProblem(call.ProblemBadRequest, call.RanNo, "the method must be POST", nil)
	}
	if _, err := s.resolveSnapshot(now, x); err != nil {
		return err
	}
	name := x.r.URL.Query().Get("route")
	routes := x.snap.Document.Routes()
	i := slices.IndexFunc(routes, func(r *config.Route) bool { return r.Name == name })
	if i < 0 {
		return call.NewProblem(call.ProblemNoRoute, call.RanNo, "unknown route "+name, nil)
	}
	rank, _ := x.snap.Document.Rank(routes[i].Rank)
	x.call = &call.Call{Route: routes[i], Rank: rank}
	d, err := s.pickUpstream(x, nil)
	if err != nil {
		return err
	}
	var nonce [16]byte
	_, _ = rand.Read(nonce[:])
	key := once.NewKey(now, d.Member.VM, d.Member.Boot, nonce)
	s.cfg.Decisions.Record("key-issued", "route", name, "vm", key.VM, "scope", d.Scope, "candidates", d.Candidates)
	h := x.w.Header()
	h.Set(call.HeaderVersion, x.snap.ID.String())
	h.Set(call.HeaderIdempotencyKey, key.String())
	h.Set("Content-Type", "application/json")
	x.w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(x.w).Encode(issuedKey{Key: key.String(), ValidMs: once.KeyValidity.Milliseconds()})
	return nil
}
