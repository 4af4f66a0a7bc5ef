package fleet

import "io"

// ProcessSpec says how a process is started.
type ProcessSpec struct {
	// BinDir is the folder of the programs, Program the file in it.
	BinDir, Program string
	// Name tells processes apart in errors.
	Name string
	// Stdin is what the process reads; nil is nothing.
	Stdin []byte
	// Stdout gets what the process writes to standard output.
	Stdout io.Writer
	// Env is added to the environment.
	Env  []string
	Args []string
}
