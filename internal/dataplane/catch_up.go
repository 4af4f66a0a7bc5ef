package dataplane

import (
	"context"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/snapshot"
)

// snapshotFor returns the snapshot in force if it is at least as new as required,
// and otherwise waits up to CatchUpTimeout for one. Errors are of type
// *call.Problem.
func (s *Server) snapshotFor(ctx context.Context, required snapshot.ID) (*snapshot.Snapshot, error) {
	store := s.control.Store()
	if snap := store.Current(); snap != nil && !snap.ID.Less(required) {
		return snap, nil
	}
	s.control.CatchUp(required)
	timer := time.NewTimer(s.cfg.CatchUpTimeout)
	defer timer.Stop()
	for {
		changed := store.Changed()
		if snap := store.Current(); snap != nil && !snap.ID.Less(required) {
			return snap, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, call.NewProblem(call.ProblemConfigBehind, call.RanNo, "required version "+required.String(), nil)
		case <-ctx.Done():
			return nil, call.NewProblem(call.ProblemConfigBehind, call.RanNo, "the caller disconnected", ctx.Err())
		}
	}
}
