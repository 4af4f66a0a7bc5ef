package ctl

import (
	"fmt"
	"io"
)

// FileList lists the paths of the files that an operation wrote.
type FileList struct {
	Files []string `json:"files"`
}

// Text implements Result: one path a line.
func (l *FileList) Text(w io.Writer) error {
	for _, f := range l.Files {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	return nil
}
