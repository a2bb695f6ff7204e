package harness

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// Program is a Reporter for programs that are not tests, such as measurements and the demo.
type Program struct {
	out     io.Writer
	cleanup []func()
}

// fatalError is the panic value by which Fatalf leaves the function that RunProgram called.
type fatalError struct{ error }

// RunProgram calls f with a Reporter that prints to out, then runs the clean-ups. It returns the
// error from Fatalf, or nil if f returned.
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

// Logf prints a line to the output.
func (p *Program) Logf(format string, args ...any) { fmt.Fprintf(p.out, format+"\n", args...) }

// Fatalf ends the function that RunProgram called.
func (p *Program) Fatalf(format string, args ...any) {
	panic(fatalError{errors.Errorf(format, args...)})
}

// Cleanup adds a function to run at the end; the last one added runs first.
func (p *Program) Cleanup(f func()) { p.cleanup = append(p.cleanup, f) }
