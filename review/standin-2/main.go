// Command standin-2 plays the cases of the second review: it starts gateways as separate processes with the
// command of the deploy file, and is their platform, their backend servers and their callers.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusCannot = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(r *rig) bool{
	"spoiled": playSpoiled,
	"experts": playExperts,
	"tenants": playTenants,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	flags := flag.NewFlagSet("standin-2", flag.ExitOnError)
	name := flags.String("case", "", "name of the case")
	record := flags.String("record", "record.txt", "file for what was sent, answered and run")
	gateway := flags.String("gateway", "target/apricothub", "program of the gateway")
	_ = flags.Parse(os.Args[1:])
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		os.Exit(statusCannot)
	}
	os.Exit(run(play, *record, *gateway, os.Getenv("TROUBLE") != "0"))
}

func run(play func(*rig) bool, record, gateway string, trouble bool) (status int) {
	r, err := newRig(record, gateway, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCannot
	}
	defer r.close()
	go r.endOnSignal()
	defer func() {
		if reason := recover(); reason != nil {
			failed, isSetup := reason.(setupError)
			if !isSetup {
				panic(reason)
			}
			r.note("the case could not run: %v", failed.err)
			fmt.Fprintln(os.Stderr, failed.err)
			status = statusCannot
		}
	}()
	if play(r) {
		return statusHeld
	}
	return statusBroken
}
