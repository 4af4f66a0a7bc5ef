package platform

// NotFoundError reports a key that does not exist on the platform.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string { return "key " + e.Key + " does not exist on the platform" }
