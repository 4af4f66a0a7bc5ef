package message

import "github.com/filbertpier/filbertpier/internal/quarantine"

// CrashReport tells the nodes of a service which requests ran on an upstream
// when it crashed.
type CrashReport struct {
	VM string `json:"vm"`
	// ID identifies the report at its sender.
	ID         uint64               `json:"id"`
	Suspicions []quarantine.Suspect `json:"suspicions"`
}

// Kind implements Message.
func (*CrashReport) Kind() Kind { return KindCrashReport }
