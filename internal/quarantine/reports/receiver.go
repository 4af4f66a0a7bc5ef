package reports

import (
	"context"
	"encoding/json"
	"time"

	"github.com/filbertpier/filbertpier/internal/quarantine"
	"github.com/filbertpier/filbertpier/internal/replica/peers"
)

// Receiver records what other nodes report in a table. It is safe for concurrent use.
type Receiver struct {
	table *quarantine.Table
}

// NewReceiver returns a receiver for a table.
func NewReceiver(t *quarantine.Table) *Receiver { return &Receiver{table: t} }

// Methods returns the JSON-RPC methods. Their errors are *MalformedError.
func (r *Receiver) Methods() map[string]peers.Method {
	return map[string]peers.Method{suspectMethod: r.suspect, shareMethod: r.share}
}

func (r *Receiver) suspect(_ context.Context, params json.RawMessage) (any, error) {
	var report crashReport
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, &MalformedError{Err: err}
	}
	if len(report.Suspects) > maxFingerprints {
		return nil, &MalformedError{Fingerprints: len(report.Suspects)}
	}
	var out crashResponse
	for _, f := range report.Suspects {
		if r.table.MarkSuspect(time.Now(), f) {
			out.Succeeded = append(out.Succeeded, f)
		}
	}
	return out, nil
}

func (r *Receiver) share(_ context.Context, params json.RawMessage) (any, error) {
	var list quarantineList
	if err := json.Unmarshal(params, &list); err != nil {
		return nil, &MalformedError{Err: err}
	}
	if len(list.Entries) > maxFingerprints {
		return nil, &MalformedError{Fingerprints: len(list.Entries)}
	}
	for _, e := range list.Entries {
		r.table.Quarantine(time.Now(), quarantine.Quarantined{
			Fingerprint: e.Fingerprint, Remaining: time.Duration(e.RemainingMs) * time.Millisecond,
		})
	}
	return struct{}{}, nil
}
