package main

import (
	"fmt"
	"os"

	"github.com/apricothub/apricothub/internal/measure/logs"
	"github.com/apricothub/apricothub/internal/measure/overhead"
	"github.com/apricothub/apricothub/internal/measure/slopes"
	"github.com/apricothub/apricothub/internal/measure/subsets"
)

// binDir is where `make build` puts the programs.
const binDir = "bin"

// measureSlopes measures the slopes of docs/CAPACITY.md at real processes.
func measureSlopes() string {
	measured, err := slopes.Measure(binDir, os.Stderr)
	exitOnError(err)
	return measured.Report()
}

// measureOverhead measures what the measureOverhead through entry and agent costs at real processes.
func measureOverhead() string {
	text, err := overhead.Measure(binDir, os.Stderr)
	exitOnError(err)
	return text
}

// measureSubsets measures subsets of measureSubsets on and off at real processes.
func measureSubsets() string {
	text, err := subsets.Measure(binDir, os.Stderr)
	exitOnError(err)
	return text
}

// measureLogs measures what a gateway's log costs at real processes.
func measureLogs() string {
	text, err := logs.Measure(binDir, os.Stderr)
	exitOnError(err)
	return text
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
