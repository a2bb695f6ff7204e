package harness

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// Program is a Reporter for programs that are no tests, such as measurements.
type Program struct {
	out     io.Writer
	cleanup []func()
}

// fatalError carries a call of Fatalf out of the program's function.
type fatalError struct{ error }

// RunProgram calls f with a Reporter that prints to out, then cleans up. It returns
// what Fatalf was called with.
func RunProgram(out io.Writer, f func(*Program)) (err error) {
	p := &Program{out: out}
	defer func() {
		for i := len(p.cleanup) - 1; i >= 0; i-- {
			p.cleanup[i]()
		}
		caught := recover()
		if s, ok := caught.(fatalError); ok {
			err = s.error
		} else if caught != nil {
			panic(caught)
		}
	}()
	f(p)
	return nil
}

// Helper does nothing.
func (p *Program) Helper() {}

// Logf prints a line.
func (p *Program) Logf(format string, args ...any) { fmt.Fprintf(p.out, format+"\n", args...) }

// Fatalf ends the program's function.
func (p *Program) Fatalf(format string, args ...any) {
	panic(fatalError{errors.Errorf(format, args...)})
}

// Cleanup notes what to do at the end, last first.
func (p *Program) Cleanup(f func()) { p.cleanup = append(p.cleanup, f) }
