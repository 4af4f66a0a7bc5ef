package disconnect

// connKey is the context key of a *Conn.
type connKey struct{}
