package peer

// linkKey identifies an outgoing connection.
type linkKey struct {
	addr  string
	class class
}
