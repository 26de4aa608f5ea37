package stand

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

type (
	// Process is one run of a program that a test has started.
	Process struct {
		command *exec.Cmd
		exited  chan struct{}
	}

	// Output collects what processes print, for the report of a failed test. It is safe for
	// concurrent use.
	Output struct {
		mutex  sync.Mutex
		buffer bytes.Buffer
	}
)

// Build builds programs of the workspace, named by their folders, into a folder. The error
// includes the output of a failed build.
func Build(folder string, flags []string, programs ...string) error {
	for _, program := range programs {
		arguments := append([]string{"build", "-o", folder + "/"}, flags...)
		output, err := exec.Command("go", append(arguments, "lentilstage.dev/"+program)...).CombinedOutput()
		if err != nil {
			return eris.Wrapf(err, "build %s: %s", program, output)
		}
	}
	return nil
}

// StartProcess starts a program from a folder, with variables added to the environment. The caller
// must end the process.
func StartProcess(folder, program string, arguments, environment []string, output io.Writer) (*Process, error) {
	p := &Process{command: exec.Command(filepath.Join(folder, program), arguments...), exited: make(chan struct{})}
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", program)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Exited is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the code of a process that has ended.
func (p *Process) ExitCode() int { return p.command.ProcessState.ExitCode() }

// Signal sends a signal, unless the process has ended. SIGSTOP pauses the process and SIGCONT
// resumes it.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Write appends to the output.
func (o *Output) Write(data []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.buffer.Write(data)
}

// String returns the output so far.
func (o *Output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.buffer.String()
}
