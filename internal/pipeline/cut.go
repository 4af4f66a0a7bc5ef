package pipeline

// Cut describes a connection that this process closed although requests sent ahead on it
// had no complete response. The client gets none for them.
type Cut struct {
	Cause CutCause
	// Client is the address of the client.
	Client string
	// Unanswered counts the requests without a complete response, besides the one whose
	// response was the last.
	Unanswered int
}
