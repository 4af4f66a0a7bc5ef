package peer

// linkKey identifies a link: each class of messages to an address has one.
type linkKey struct {
	addr  string
	class class
}
