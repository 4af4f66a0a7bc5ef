package fleet

import "io"

// ProcessSpec describes a process to launch.
type ProcessSpec struct {
	// BinDir is the folder of the programs and Program a file name in it.
	BinDir, Program string
	// Name identifies the process in errors.
	Name string
	// Stdin is the content of standard input; nil means empty.
	Stdin []byte
	// Stdout receives the standard output; nil discards it.
	Stdout io.Writer
	// Env is added to the environment of the calling process.
	Env  []string
	Args []string
}
