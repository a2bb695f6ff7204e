package main

import (
	"fmt"
	"os"

	"github.com/apricothub/apricothub/internal/measure/logs"
	"github.com/apricothub/apricothub/internal/measure/overhead"
	"github.com/apricothub/apricothub/internal/measure/slopes"
	"github.com/apricothub/apricothub/internal/measure/subsets"
)

// binaries is where `make build` puts the programs.
const binaries = "bin"

// capacity measures the slopes of docs/CAPACITY.md at real processes.
func capacity() string {
	measured, err := slopes.Measure(binaries, os.Stderr)
	fatal(err)
	return measured.Report()
}

// way measures what the way through entry and agent costs at real processes.
func way() string {
	text, err := overhead.Measure(binaries, os.Stderr)
	fatal(err)
	return text
}

// links measures subsets of links on and off at real processes.
func links() string {
	text, err := subsets.Measure(binaries, os.Stderr)
	fatal(err)
	return text
}

// logCost measures what a gateway's log costs at real processes.
func logCost() string {
	text, err := logs.Measure(binaries, os.Stderr)
	fatal(err)
	return text
}

func fatal(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
