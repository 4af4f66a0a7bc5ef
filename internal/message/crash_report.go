package message

import "github.com/filbertpier/filbertpier/internal/quarantine"

// CrashReport notifies the nodes of a service which requests were running on an
// upstream when it crashed. It is acknowledged by a CrashAck.
type CrashReport struct {
	VM string `json:"vm"`
	// ID is unique among the reports of the sender.
	ID       uint64               `json:"id"`
	Suspects []quarantine.Suspect `json:"suspicions"`
}

// Kind implements Message.
func (*CrashReport) Kind() Kind { return KindCrashReport }
