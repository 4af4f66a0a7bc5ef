package dataplane

// issuedKey is the response body of a request for an idempotency key.
type issuedKey struct {
	Key string `json:"key"`
	// ValidMs is how long the key can be used, in milliseconds.
	ValidMs int64 `json:"validMs"`
}
