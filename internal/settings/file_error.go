package settings

// FileError reports a settings file that cannot be read.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return "reading settings " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the error of the file system.
func (e *FileError) Unwrap() error { return e.Err }
