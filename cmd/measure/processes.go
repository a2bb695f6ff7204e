package main

import (
	"fmt"
	"os"

	"github.com/apricothub/apricothub/internal/measure/logs"
	"github.com/apricothub/apricothub/internal/measure/overhead"
	"github.com/apricothub/apricothub/internal/measure/slopes"
	"github.com/apricothub/apricothub/internal/measure/subsets"
)

// binDir is the directory of the binaries built by `make build`.
const binDir = "bin"

// measureSlopes measures the slopes of docs/CAPACITY.md with real processes.
func measureSlopes() string {
	measured, err := slopes.Measure(binDir, os.Stderr)
	exitOnError(err)
	return measured.Report()
}

// measureOverhead measures the overhead of the path through entry and agent with real processes.
func measureOverhead() string {
	text, err := overhead.Measure(binDir, os.Stderr)
	exitOnError(err)
	return text
}

// measureSubsets compares clusters with and without subsets of links, with real processes.
func measureSubsets() string {
	text, err := subsets.Measure(binDir, os.Stderr)
	exitOnError(err)
	return text
}

// measureLogs measures the cost of a gateway's log to callers with real processes.
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
