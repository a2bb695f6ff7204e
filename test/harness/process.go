// Package harness starts the processes of apricothub and its stand-ins on loopback, injects faults
// into them and their connections, and runs callers that record what they observe. Tests,
// measurements and the demo are built on it.
package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Reporter is the part of testing.TB that the harness needs. Fatalf must not return.
type Reporter interface {
	Helper()
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
	Cleanup(func())
}

// Process is a process started by the harness.
type Process struct {
	Name string
	// LogFile is the file that holds the output of the process.
	LogFile string

	report Reporter
	bin    string
	args   []string
	env    []string
	// output, if not nil, receives the output of the process instead of LogFile.
	output *os.File
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
}

// terminateTimeout limits the wait for a process to exit after SIGTERM.
const terminateTimeout = 40 * time.Second

// Start starts a process whose output goes to a file in dir. The process is killed at the end of
// the test, or on Linux by the kernel if the test process dies.
func Start(report Reporter, dir, name, bin string, args ...string) *Process {
	report.Helper()
	return StartWithEnv(report, nil, dir, name, bin, args...)
}

// StartWithEnv is Start with additional environment variables.
func StartWithEnv(report Reporter, env []string, dir, name, bin string, args ...string) *Process {
	report.Helper()
	p := &Process{Name: name, LogFile: filepath.Join(dir, name+".log"), report: report, bin: bin, args: args, env: env}
	p.Restart()
	report.Cleanup(p.Kill)
	return p
}

// StartWithOutput is StartWithEnv with all output going to a given file, such as a pipe that nobody
// reads.
func StartWithOutput(report Reporter, output *os.File, env []string, name, bin string, args ...string) *Process {
	report.Helper()
	p := &Process{Name: name, report: report, bin: bin, args: args, env: env, output: output}
	p.Restart()
	report.Cleanup(p.Kill)
	return p
}

// Restart starts the process again; the new process has no state of the old one.
func (p *Process) Restart() {
	p.report.Helper()
	output := p.output
	if output == nil {
		file, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			p.report.Fatalf("%s: %v", p.Name, err)
		}
		defer file.Close()
		output = file
	}
	cmd := exec.Command(p.bin, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = dieWithParent()
	if err := cmd.Start(); err != nil {
		p.report.Fatalf("%s: %v", p.Name, err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

// current returns the current command and the channel that is closed when it exits.
func (p *Process) current() (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.ended
}

// PID returns the process id.
func (p *Process) PID() int {
	cmd, _ := p.current()
	return cmd.Process.Pid
}

// Ended returns a channel that is closed once the process has exited.
func (p *Process) Ended() <-chan struct{} {
	_, ended := p.current()
	return ended
}

// Signal sends a signal. It does nothing if the process has exited.
func (p *Process) Signal(sig syscall.Signal) {
	cmd, _ := p.current()
	_ = cmd.Process.Signal(sig)
}

// Pause pauses the process with SIGSTOP and returns once all its threads have stopped (on Linux).
func (p *Process) Pause() {
	p.Signal(syscall.SIGSTOP)
	awaitStopped(p.PID())
}

// Continue resumes a paused process with SIGCONT.
func (p *Process) Continue() { p.Signal(syscall.SIGCONT) }

// Kill kills the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Ended()
}

// Terminate requests a graceful shutdown with SIGTERM and returns the exit status. The test fails
// if the process has not exited after 40 s.
func (p *Process) Terminate() int {
	p.report.Helper()
	cmd, ended := p.current()
	p.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(terminateTimeout):
		p.report.Fatalf("%s has not exited %s after SIGTERM", p.Name, terminateTimeout)
	}
	return cmd.ProcessState.ExitCode()
}

// Tail returns the last 2000 bytes of the log file.
func (p *Process) Tail() string {
	data, _ := os.ReadFile(p.LogFile)
	const maxBytes = 2000
	return string(data[max(0, len(data)-maxBytes):])
}

// Eventually calls check until it returns nil, and returns the time that this took. The test fails
// with the last error once that exceeds limit.
func Eventually(report Reporter, limit time.Duration, what string, check func() error) time.Duration {
	report.Helper()
	begin := time.Now()
	for {
		err := check()
		if err == nil {
			return time.Since(begin)
		}
		if time.Since(begin) > limit {
			report.Fatalf("%s: not within %s: %v", what, limit, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Build compiles the commands of the module at root into dir.
func Build(root, dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "go build: %s", out)
	}
	return nil
}
