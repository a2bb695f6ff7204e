package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
)

// slowReaders: one of three gateways is stopped by plan. A third of the callers stop reading for 1.9 s at the
// beginning of a stream.
func slowReaders(f *fleet) ([]string, error) {
	var err error
	if f.store, err = newStore(f.newIP()); err != nil {
		return nil, err
	}
	f.bounds = grownBounds
	const workers, grace = 3, 8 * time.Second
	for i := range workers {
		if _, err := f.startWorker(fmt.Sprintf("i-%d", i+1), []string{"zone-a", "zone-b"}[i%2]); err != nil {
			return nil, err
		}
	}
	f.configure(1)
	if err := f.startGateways(gatewayCount); err != nil {
		return nil, err
	}
	l := load{callers: 36, pause: 100 * time.Millisecond, next: func() request {
		return request{"POST", "/draft/1?pieces=19&ms=30&bytes=300", 8 * time.Second}
	}}
	if f.trouble {
		l.slow, l.readPause = 12, 1900*time.Millisecond
	}
	stopped := f.gateways[0]
	stopAt := time.Now().Add(settleTime)
	l.until = stopAt.Add(grace)
	go func() {
		time.Sleep(time.Until(stopAt))
		f.note("the platform sends SIGTERM to %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
		<-stopped.done
		f.note("%s has ended", stopped.name)
	}()
	answers := f.run(l)
	ran := make(map[string]bool)
	for i := range workers {
		for _, line := range f.collect(fmt.Sprintf("i-%d", i+1)) {
			if fields := strings.Fields(line); len(fields) > 4 && fields[3] == "run" {
				ran[fields[4]] = true
			}
		}
	}
	var broken []string
	elsewhere := 0
	for _, a := range answers {
		switch {
		case a.err == nil || !ran[a.attempt] || a.endedAt.Sub(a.sentAt) > l.next().deadline:
		case a.address == net.JoinHostPort(stopped.ip, portCallers) && a.endedAt.After(stopAt) && a.endedAt.Before(stopAt.Add(grace+time.Second)):
			broken = append(broken, fmt.Sprintf("%s was passed on and ran, and its connection ended %.1f s after it was sent without a complete answer: %v",
				a.attempt, a.endedAt.Sub(a.sentAt).Seconds(), a.err))
		default:
			elsewhere++
		}
	}
	f.note("%d more requests that ran ended so at other gateways or other times", elsewhere)
	return broken, nil
}
