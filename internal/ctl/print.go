package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Print writes the result of an operation to stdout and its error to stderr, and
// returns the exit code. result and err may both be set.
func Print(stdout, stderr io.Writer, asJSON bool, result Result, err error) ExitCode {
	code := ExitCodeOf(err)
	if result != nil {
		write := result.Text
		if asJSON {
			write = func(w io.Writer) error { return writeJSON(w, result) }
		}
		if writeErr := write(stdout); writeErr != nil && code == ExitOK {
			err, code = writeErr, ExitFailure
		}
	}
	if err == nil {
		return code
	}
	if asJSON {
		_ = writeJSON(stderr, failureOf(err, code))
		return code
	}
	text := err.Error()
	if result != nil && code == ExitInvalid {
		// The result already lists the faults; print only the first line.
		text, _, _ = strings.Cut(text, "\n")
	}
	_, _ = fmt.Fprintln(stderr, "fpctl:", text)
	return code
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
