package pipeline

// CutCause says why a connection was closed before all requests on it were answered. It
// is a label of metrics.
type CutCause string

// The causes.
const (
	// CutByResponse: a response said "Connection: close".
	CutByResponse CutCause = "closing-response"
	// CutAfterResponse: the HTTP server closed the connection after a complete response,
	// as it does while it shuts down.
	CutAfterResponse CutCause = "after-response"
	// CutInResponse: a response was aborted, or its connection evicted.
	CutInResponse CutCause = "incomplete-response"
	// CutByListener: the listener was closed when a further request arrived.
	CutByListener CutCause = "listener-closed"
)
