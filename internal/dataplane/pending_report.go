package dataplane

// pendingReport is a crash report that waits for acknowledgements. Its fields
// are guarded by the lock of its crashReports.
type pendingReport struct {
	waiting map[string]bool
	done    chan struct{}
}
