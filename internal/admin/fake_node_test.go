package admin_test

import (
	"fmt"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/admin"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/testkit"
	"github.com/filbertpier/filbertpier/snapshot"
)

// fakeNode implements admin.Node with fixed state. level is the argument of the
// last SetLogLevel call.
type fakeNode struct {
	snap  *snapshot.Snapshot
	level string
}

func newFakeNode() *fakeNode {
	p, sections := testkit.NewPublisher(), testkit.Sections(1, "recall")
	snap, err := snapshot.Build(p.Keys(), p.SignedByBothLeads(7, sections), testkit.SectionSource(sections))
	if err != nil {
		panic(err)
	}
	return &fakeNode{snap: snap}
}

func (f *fakeNode) Status() admin.Status {
	return admin.Status{VM: "vm-1", Version: f.snap.ID, PlatformAgeMs: 61_000, Violations: 2}
}

func (f *fakeNode) Readiness() admin.Readiness {
	return admin.Readiness{Reasons: []string{admin.ReasonLeaving}}
}

func (f *fakeNode) Version() (admin.Version, bool) { return admin.VersionOf(f.snap), true }

func (f *fakeNode) Refused() []admin.RefusedVersion {
	_, err := config.Compile(nil)
	return admin.RefusedVersionsOf(map[snapshot.ID]error{
		{Version: 8, Digest: manifest.Sum(nil)}: err,
		{Version: 6, Digest: manifest.Sum(nil)}: err,
	})
}

func (f *fakeNode) Limits() admin.Limits { return admin.LimitsOf(f.snap.Document, "recall") }

func (f *fakeNode) Members() []member.Member {
	var out []member.Member
	for i := range 1200 {
		out = append(out, member.Member{VM: fmt.Sprintf("vm-%04d", 1199-i), Region: "north", Zone: "z" + fmt.Sprint(i%2), Status: member.Status(i % 4)})
	}
	return out
}

func (f *fakeNode) Neighbours() []string { return []string{"vm-0002"} }

func (f *fakeNode) SetLogLevel(level string) bool {
	f.level = level
	return level == "debug"
}
