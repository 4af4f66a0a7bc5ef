package message

// Message is one of the message types of this package.
type Message interface {
	// Kind is the JSON-RPC method of the message.
	Kind() Kind
}
