// Package harness starts the processes of apricothub and the stand-ins around it
// on loopback, breaks them and the connections between them, and plays callers
// that record what they saw. Tests and the demonstration are built on it.
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

// Reporter is the part of testing.TB that the harness needs. Fatalf must not
// return.
type Reporter interface {
	Helper()
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
	Cleanup(func())
}

// Process is one process that the harness started.
type Process struct {
	Name string
	// LogFile holds all that the process wrote.
	LogFile string

	report Reporter
	bin    string
	args   []string
	env    []string
	// output takes what the process writes in place of LogFile, unless it is nil.
	output *os.File
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
}

// terminateTimeout bounds the wait for a process that was told to end.
const terminateTimeout = 40 * time.Second

// Start starts a process whose output goes to a file in dir. The process is killed
// when the test ends, and by the kernel when the test process dies.
func Start(report Reporter, dir, name, bin string, args ...string) *Process {
	report.Helper()
	return StartWithEnv(report, nil, dir, name, bin, args...)
}

// StartWithEnv is Start with further variables of the environment.
func StartWithEnv(report Reporter, env []string, dir, name, bin string, args ...string) *Process {
	report.Helper()
	p := &Process{Name: name, LogFile: filepath.Join(dir, name+".log"), report: report, bin: bin, args: args, env: env}
	p.Restart()
	report.Cleanup(p.Kill)
	return p
}

// StartWithOutput is Start with further variables of the environment and all output to out, as a
// pipe that nobody reads.
func StartWithOutput(report Reporter, output *os.File, env []string, name, bin string, args ...string) *Process {
	report.Helper()
	p := &Process{Name: name, report: report, bin: bin, args: args, env: env, output: output}
	p.Restart()
	report.Cleanup(p.Kill)
	return p
}

// Restart starts the process again, as a new process with no memory.
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

// current returns the running command and the channel closed at its end.
func (p *Process) current() (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.ended
}

// PID is the process id.
func (p *Process) PID() int {
	cmd, _ := p.current()
	return cmd.Process.Pid
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} {
	_, ended := p.current()
	return ended
}

// Signal sends a signal; one that has ended gets none.
func (p *Process) Signal(sig syscall.Signal) {
	cmd, _ := p.current()
	_ = cmd.Process.Signal(sig)
}

// Pause stops the process in the middle of whatever it does (SIGSTOP), and returns when it
// stands still.
func (p *Process) Pause() {
	p.Signal(syscall.SIGSTOP)
	awaitStopped(p.PID())
}

// Continue lets a paused process go on (SIGCONT).
func (p *Process) Continue() { p.Signal(syscall.SIGCONT) }

// Kill ends the process at once (SIGKILL) and waits until it is gone.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Ended()
}

// Terminate asks for a planned stop (SIGTERM) and returns the exit status. A
// process that does not end in 40 s fails the test.
func (p *Process) Terminate() int {
	p.report.Helper()
	cmd, ended := p.current()
	p.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(terminateTimeout):
		p.report.Fatalf("%s has not stopped %s after SIGTERM", p.Name, terminateTimeout)
	}
	return cmd.ProcessState.ExitCode()
}

// Tail returns the end of what the process wrote.
func (p *Process) Tail() string {
	data, _ := os.ReadFile(p.LogFile)
	const maxBytes = 2000
	return string(data[max(0, len(data)-maxBytes):])
}

// Eventually waits until check returns nil, and fails the test with its last error
// when that takes longer than limit. It returns the time it took.
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
