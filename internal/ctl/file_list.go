package ctl

import (
	"fmt"
	"io"
)

// FileList names files that were written.
type FileList struct {
	Files []string `json:"files"`
}

// Text implements Result.
func (l *FileList) Text(w io.Writer) error {
	for _, f := range l.Files {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	return nil
}
