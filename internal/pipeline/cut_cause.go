package pipeline

// CutCause says why a connection was closed before all requests on it were answered. It
// is a label of metrics.
type CutCause string

// The causes.
const (
	// CutAfterResponse: the HTTP server closed the connection after a complete response,
	// as it does while it shuts down.
	CutAfterResponse CutCause = "after-response"
	// CutInResponse: a response was aborted, its connection evicted, or the HTTP server
	// closed the connection with it on its own account, as for a malformed request.
	CutInResponse CutCause = "incomplete-response"
	// CutByListener: the listener was closed when a further request arrived.
	CutByListener CutCause = "listener-closed"
)
