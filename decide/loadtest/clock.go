// Package loadtest simulates backend servers, agents, entries and callers in virtual time, so that
// the decisions under load can be tested by what callers see. It is a small fake for tests and
// measurements: it has no network, no message faults and no configuration, and no product code uses
// it.
package loadtest

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their virtual time.
type clock struct {
	now    time.Duration
	events events
	seq    uint64
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// after runs an event once the duration has passed.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + max(d, 0), seq: c.seq, run: run})
}

// every runs an event periodically.
func (c *clock) every(first, period time.Duration, run func()) {
	c.after(first, func() {
		run()
		c.every(period, period, run)
	})
}

// runUntil runs all events up to a time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
