package intake

// phase is what a connection is doing. It tells whether a blocked read waits for the
// client or only watches for its close.
type phase int32

const (
	// phaseIdle: no byte of the next request has arrived.
	phaseIdle phase = iota
	// phaseHead: a request's head is being read, or what a handler left of its body.
	phaseHead
	// phaseCall: a handler runs. Reads watch for the client's close.
	phaseCall
	// phaseBody: a handler reads the body.
	phaseBody
)
