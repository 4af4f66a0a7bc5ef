package main

import "fmt"

// ChartError reports a file that cannot be read, drawn or written.
type ChartError struct {
	File string
	// Line counts from 1; 0 means the whole file.
	Line   int
	Detail string
	Err    error
}

func (e *ChartError) Error() string {
	text := fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Detail)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause, if any.
func (e *ChartError) Unwrap() error { return e.Err }
