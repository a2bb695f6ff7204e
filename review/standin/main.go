// Command standin plays what stands around the gateways in the cases of the review: the platform's
// store, backend servers and callers. It starts the gateways as separate processes.
//
// It is no part of the product, and no test of CI runs it.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns the breaks of its rule.
var cases = map[string]func(*fleet) ([]string, error){
	"repeated-refusals": repeatedRefusals,
	"cut-answers":       cutAnswers,
	"slow-readers":      slowReaders,
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE | standin worker FLAGS")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "worker" {
		os.Exit(runWorker(os.Args[2:]))
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run))
}
