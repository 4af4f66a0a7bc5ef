package settings

// InvalidError reports settings that a node cannot start with.
type InvalidError struct {
	// Field is the setting's path, if one is to blame.
	Field string
	Err   error
}

func (e *InvalidError) Error() string {
	text := "invalid settings"
	if e.Field != "" {
		text += ": " + e.Field
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the decoding or validation error, if any.
func (e *InvalidError) Unwrap() error { return e.Err }
