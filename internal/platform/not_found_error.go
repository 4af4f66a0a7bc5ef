package platform

// NotFoundError reports a key that the platform does not hold.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string { return "the platform holds no " + e.Key }
