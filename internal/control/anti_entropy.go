package control

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
)

func (a *Agent) tableDigests(self member.Member, reply bool) *message.TableDigests {
	d := a.table.Digests()
	return &message.TableDigests{VM: self.VM, Digests: d[:], Reply: reply}
}

// sendTableDigests starts a comparison of the member table with a random peer.
func (a *Agent) sendTableDigests(members []member.Member, self member.Member, out *effects) {
	if m, ok := a.randomPeer(members, self); ok {
		out.send(self, m, a.tableDigests(self, false))
	}
}

// compareTables compares the member table with a peer every antiEntropyTicks, and
// with one nearby at every tick while no comparison has ended since the node
// started: a node that became ready at its join timeout may know few members, and
// some of them only from the platform's list.
func (a *Agent) compareTables(now time.Time, view *member.View, self member.Member, tick uint64, out *effects) {
	switch {
	case tick%antiEntropyTicks == 0:
		a.sendTableDigests(view.Region(self.Region), self, out)
		a.table.Expire(now)
	case a.join.IsReady() && !a.join.IsTableSynced():
		a.sendTableDigests(nearestMembers(view, self), self, out)
	}
}

// onTableDigests sends the records of all shards whose digests differ. A
// request is also answered with the node's own digests, sent after the records;
// that reply tells a joining node that the whole table has been sent.
func (a *Agent) onTableDigests(m *message.TableDigests, out *effects) {
	from, ok := a.table.Get(m.VM)
	if !ok || len(m.Digests) != member.ShardCount {
		return
	}
	if m.Reply {
		a.join.SetTableSynced()
	}
	self := a.self.Get()
	var records []member.Member
	for i, d := range a.table.Digests() {
		if d != m.Digests[i] {
			records = append(records, a.table.Shard(i)...)
		}
	}
	for len(records) > 0 {
		n := min(len(records), maxUpdatesPerMessage)
		out.send(self, from, &message.MemberUpdates{VM: self.VM, Members: records[:n]})
		records = records[n:]
	}
	if !m.Reply {
		out.send(self, from, a.tableDigests(self, true))
	}
}
