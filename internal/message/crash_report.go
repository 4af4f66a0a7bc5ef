package message

import "github.com/filbertpier/filbertpier/internal/quarantine"

// CrashReport lists the requests that were running on the sender's upstream when
// it crashed. It goes to the other nodes of the service, which reply with a
// CrashAck.
type CrashReport struct {
	VM string `json:"vm"`
	// ID is unique among the reports of the sender.
	ID       uint64               `json:"id"`
	Suspects []quarantine.Suspect `json:"suspicions"`
}

// Kind implements Message.
func (*CrashReport) Kind() Kind { return KindCrashReport }
