package dataplane_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/dataplane"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
	"github.com/filbertpier/filbertpier/internal/telemetry"
	"github.com/filbertpier/filbertpier/internal/testkit"
	"github.com/filbertpier/filbertpier/snapshot"
)

// fakeControlPlane is the control plane of a joined node. Its catchUp function
// simulates the response of the peers.
type fakeControlPlane struct {
	store   *snapshot.Store
	table   *member.Table
	catchUp func(snapshot.ID)
}

func (c *fakeControlPlane) Ready(time.Time) bool   { return true }
func (c *fakeControlPlane) Store() *snapshot.Store { return c.store }
func (c *fakeControlPlane) Table() *member.Table   { return c.table }
func (c *fakeControlPlane) Self() member.Member {
	return member.Member{VM: "vm-1", Zone: "z", Region: "r"}
}
func (c *fakeControlPlane) Send(member.Member, message.Message) {}
func (c *fakeControlPlane) CatchUp(id snapshot.ID)              { c.catchUp(id) }

func buildSnapshot(t *testing.T, n uint64) *snapshot.Snapshot {
	t.Helper()
	p := testkit.NewPublisher()
	sections := testkit.Sections(int(n), "recall")
	s, err := snapshot.Build(p.Keys(), p.SignedByBothLeads(n, sections), testkit.SectionSource(sections))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newServer(c *fakeControlPlane) *dataplane.Server {
	m := telemetry.NewMetrics()
	return dataplane.NewServer(dataplane.Config{
		Metrics: m, Decisions: telemetry.NewDecisionLog(hclog.NewNullLogger(), m, 1), Invariants: telemetry.NewInvariants(m, true),
	}, c)
}

// TestCallWaitsForRequiredVersion guards against a node that serves a call under
// version 1 although the call requires version 2, because its caller was served
// under version 2 by another node. The node must catch up first.
func TestCallWaitsForRequiredVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v1, v2 := buildSnapshot(t, 1), buildSnapshot(t, 2)
		c := &fakeControlPlane{store: snapshot.NewStore(), table: member.NewTable()}
		c.catchUp = func(snapshot.ID) {
			time.AfterFunc(200*time.Millisecond, func() { _ = c.store.Apply(v2) })
		}
		_ = c.store.Apply(v1)
		r := httptest.NewRequest("GET", "/recall", nil)
		r.Header.Set(call.HeaderVersion, v2.ID.String())
		w := httptest.NewRecorder()
		newServer(c).ServeHTTP(w, r)
		if got := w.Header().Get(call.HeaderVersion); got != v2.ID.String() {
			t.Errorf("served under %q, want %s", got, v2.ID)
		}
	})
}

// TestCallIsRefusedWhenRequiredVersionDoesNotArrive guards against a node that
// serves an older version, or waits without limit, when the required version
// does not arrive. It must report the call as not run.
func TestCallIsRefusedWhenRequiredVersionDoesNotArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v1, v2 := buildSnapshot(t, 1), buildSnapshot(t, 2)
		c := &fakeControlPlane{store: snapshot.NewStore(), table: member.NewTable(), catchUp: func(snapshot.ID) {}}
		_ = c.store.Apply(v1)
		r := httptest.NewRequest("GET", "/recall", nil)
		r.Header.Set(call.HeaderVersion, v2.ID.String())
		w := httptest.NewRecorder()
		start := time.Now()
		newServer(c).ServeHTTP(w, r)
		if w.Code != 503 || w.Header().Get(call.HeaderRan) != string(call.RanNo) {
			t.Errorf("status %d, ran %q; want 503 and no", w.Code, w.Header().Get(call.HeaderRan))
		}
		if waited := time.Since(start); waited != 500*time.Millisecond {
			t.Errorf("waited %v, want the catch-up timeout of 500 ms", waited)
		}
	})
}
