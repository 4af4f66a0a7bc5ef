package call

// Caller is the client that a call comes from.
type Caller interface {
	// Closed reports whether the client has closed its connection. It does not block.
	Closed() bool
}
