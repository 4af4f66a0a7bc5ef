package member

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Member is the record of one VM's node. It holds no references, so copies are
// independent.
type Member struct {
	// VM is the id from the platform's VM list.
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Service is the service label of the upstream on the VM.
	Service string `json:"service"`
	// PeerAddr and CallAddr are host:port with an IP address.
	PeerAddr string `json:"peer"`
	CallAddr string `json:"call"`
	// Boot identifies the process: its start in Unix milliseconds.
	Boot uint64 `json:"boot"`
	// Incarnation is raised only by the member itself, when it refutes a
	// suspect or dead record and when it starts to leave.
	Incarnation uint64 `json:"inc"`
	Status      Status `json:"status"`
	// ChangedAt is when the status was set, in Unix milliseconds by the clock
	// of the node that set it. It only bounds how long a dead record is kept.
	ChangedAt int64 `json:"at"`
}

// Supersedes reports whether m takes precedence over old, a record of the same
// VM: the greater boot wins, then the greater incarnation, then the greater
// status.
func (m Member) Supersedes(old Member) bool {
	if c := cmp.Compare(m.Boot, old.Boot); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(m.Incarnation, old.Incarnation); c != 0 {
		return c > 0
	}
	return m.Status > old.Status
}

// NotDead reports whether the member is alive, suspect or leaving: such members
// are part of the zones and regions of a View.
func (m Member) NotDead() bool { return m.Status != Dead }

// hash covers the VM id and the fields that decide precedence.
func (m Member) hash() uint64 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[0:], m.Boot)
	binary.LittleEndian.PutUint64(b[8:], m.Incarnation)
	b[16] = byte(m.Status)
	var d xxhash.Digest
	d.ResetWithSeed(0)
	_, _ = d.WriteString(m.VM)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// RingHash is the member's position on the ring of its zone.
func (m Member) RingHash() uint64 { return xxhash.Sum64String(m.VM) }
