package main

import "fmt"

// RecordError reports a record that cannot be drawn.
type RecordError struct {
	File string
	// Line counts from 1; 0 means the whole file.
	Line   int
	Detail string
	Err    error
}

func (e *RecordError) Error() string {
	text := fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Detail)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause, if any.
func (e *RecordError) Unwrap() error { return e.Err }
