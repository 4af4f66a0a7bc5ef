package quarantine

// pendingReport is a crash report that waits for acknowledgements. Its fields
// are guarded by the lock of its PendingReports.
type pendingReport struct {
	// unacknowledged holds the VMs whose nodes have not acknowledged it.
	unacknowledged map[string]bool
	// done is closed when unacknowledged becomes empty.
	done chan struct{}
}
