// Package urgency divides the slots of a service by the urgency of what runs and waits at all entries,
// so that no entry starts less urgent requests while another one holds more urgent ones.
//
// The load is several kinds of requests that compete for too little room. Each entry tells the others
// how many requests of each priority run and wait with it; from the same numbers all of them work out
// which fraction of each priority may run: the most urgent first (water filling), and the same fraction
// at each entry. A priority in surplus keeps a floor, so that a flood of requests marked urgent does not
// starve the rest.
//
// Numbers of other entries are a few hundred ms old. That is short against the time that a request runs,
// and a missing number errs on the side of serving.
//
// Time is an argument, counted since the process started. A Table is not safe for concurrent use.
package urgency

import (
	"maps"
	"slices"
	"time"
)

const (
	// floorRatio is the fraction of all slots that each priority keeps if it has as many requests.
	floorRatio = 0.1
	// maxAge is the age up to which the demand of another entry counts: three heartbeats among many
	// entries.
	maxAge = 1200 * time.Millisecond
)

// Demand counts requests that run or wait, by priority; 0 is the most urgent.
type Demand map[int]int

func (d Demand) total() int {
	sum := 0
	for _, n := range d {
		sum += n
	}
	return sum
}

// Ratios holds the fraction of its demand that may run, by priority. A priority that is missing may run
// whole.
type Ratios map[int]float64

// Divide returns the fractions of a demand that may run in a number of slots, or nil if all may.
func Divide(demand Demand, slots int) Ratios {
	if slots <= 0 || demand.total() <= slots {
		return nil
	}
	floor := floorRatio * float64(slots)
	priorities := slices.Sorted(maps.Keys(demand))
	left, reserved := float64(slots), 0.0
	for _, p := range priorities {
		reserved += min(float64(demand[p]), floor)
	}
	ratios := make(Ratios)
	for _, p := range priorities {
		wanted := float64(demand[p])
		if wanted == 0 {
			continue
		}
		reserved -= min(wanted, floor)
		given := min(wanted, max(left-reserved, min(wanted, floor)))
		left -= given
		if given < wanted {
			ratios[p] = given / wanted
		}
	}
	return ratios
}

// Table holds the demand of the other entries for one service.
type Table struct {
	others map[string]report
}

type report struct {
	demand Demand
	at     time.Duration
}

// NewTable returns a Table without reports.
func NewTable() *Table { return &Table{others: make(map[string]report)} }

// Set records the demand of another entry, which replaces its last one. An empty demand removes it.
func (t *Table) Set(entry string, demand Demand, now time.Duration) {
	if demand.total() == 0 {
		delete(t.others, entry)
		return
	}
	t.others[entry] = report{demand: demand, at: now}
}

// Ratios returns the fractions of each priority that may run in a number of slots, given the demand of
// this entry; nil if all may.
func (t *Table) Ratios(own Demand, slots int, now time.Duration) Ratios {
	sum := maps.Clone(own)
	for entry, r := range t.others {
		if now-r.at > maxAge {
			delete(t.others, entry)
			continue
		}
		for p, n := range r.demand {
			sum[p] += n
		}
	}
	return Divide(sum, slots)
}
