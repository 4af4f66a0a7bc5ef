package files

import (
	"io"
	"os"
	"path/filepath"
)

// maxFileBytes is the maximum size of a file to read. Long documents are the
// largest files.
const maxFileBytes = 16 << 20

// Read returns the content of a file of at most 16 MiB. Errors are of type
// *Error.
func Read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &Error{Op: "read", Path: path, Err: err}
	}
	defer func() { _ = f.Close() }()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, &Error{Op: "read", Path: path, Err: err}
	}
	if len(raw) > maxFileBytes {
		return nil, &Error{Op: "read: larger than 16 MiB:", Path: path}
	}
	return raw, nil
}

// Write creates or replaces a file atomically, so that neither a concurrent
// reader nor an interrupted run is left with a partial file. It creates missing
// folders. Errors are of type *Error.
func Write(path string, data []byte, mode os.FileMode) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return &Error{Op: "write", Path: path, Err: err}
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".fpctl-*")
	if err != nil {
		return &Error{Op: "write", Path: path, Err: err}
	}
	_, err = f.Write(data)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Chmod(f.Name(), mode)
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return &Error{Op: "write", Path: path, Err: err}
	}
	return nil
}

// Create writes a new file and fails if it exists. Errors are of type *Error.
func Create(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return &Error{Op: "write", Path: path, Err: err}
	}
	_, err = f.Write(data)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return &Error{Op: "write", Path: path, Err: err}
	}
	return nil
}
