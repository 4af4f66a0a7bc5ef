package fleet

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// Process is a launched process. It is safe for concurrent use.
type Process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	// Log holds what the process wrote to standard error.
	Log *LogBuffer
	// mu serialises signals.
	mu sync.Mutex
}

func startProcess(binDir, program, name string, stdin []byte, args ...string) (*Process, error) {
	return Launch(ProcessSpec{BinDir: binDir, Program: program, Name: name, Stdin: stdin, Args: args, Stdout: io.Discard})
}

// Launch starts a process that the kernel kills when the calling process ends. It
// returns a *LaunchError.
func Launch(l ProcessSpec) (*Process, error) {
	cmd := exec.Command(filepath.Join(l.BinDir, l.Program), l.Args...)
	p := &Process{name: l.Name, cmd: cmd, done: make(chan struct{}), Log: &LogBuffer{}}
	if l.Stdin != nil {
		cmd.Stdin = bytes.NewReader(l.Stdin)
	}
	cmd.Env = append(os.Environ(), l.Env...)
	cmd.Stdout = l.Stdout
	cmd.Stderr = p.Log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, &LaunchError{Process: l.Name, Err: err}
	}
	go func() {
		defer close(p.done)
		_ = cmd.Wait()
	}()
	return p, nil
}

// Signal sends a signal to the process unless it has ended.
func (p *Process) Signal(sig os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }
