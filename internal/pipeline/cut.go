package pipeline

// Cut describes a connection that this process closed with a response that was aborted or
// not the last one, although requests sent ahead behind it were not answered yet. The
// client gets no answer to them.
type Cut struct {
	// Client is the address of the client.
	Client string
	// Unanswered counts the requests behind the closing response.
	Unanswered int
}
