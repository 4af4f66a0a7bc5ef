package pipeline

// Cut describes a connection that this process closed before all requests sent ahead on it
// were answered, because a response was aborted or the connection of a request evicted.
type Cut struct {
	// Client is the address of the client.
	Client string
	// Unanswered counts the requests behind the closing response.
	Unanswered int
}
