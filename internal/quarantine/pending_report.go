package quarantine

// pendingReport is a crash report that waits for acknowledgements. Its fields
// are guarded by the lock of its Reports.
type pendingReport struct {
	waiting map[string]bool
	done    chan struct{}
}
