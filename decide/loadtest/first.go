package loadtest

import (
	"time"

	"github.com/apricothub/apricothub/decide/cold"
)

// firstLimit is the first version of package cold, kept as a baseline: it doubled
// the limit once the whole of it had completed twice at good latency, and judged
// each latency by itself.
type firstLimit struct {
	coldLimit, full       int
	limit, running        int
	usual, work, progress time.Duration
	slowRun, goodRun      int
}

const (
	firstSlowFactor = 3
	firstSlowRun    = 3
	firstRounds     = 2
	firstStall      = 2 * time.Second
)

func newFirstLimit(c cold.Config) *firstLimit {
	return &firstLimit{coldLimit: c.ColdLimit, full: c.FullLimit, limit: c.ColdLimit}
}

func (f *firstLimit) TryStart(now time.Duration) bool {
	f.Tick(now)
	if f.running >= f.limit {
		return false
	}
	if f.running == 0 {
		f.progress = now
	}
	f.running++
	return true
}

func (f *firstLimit) Observe(now, latency time.Duration) {
	f.progress = now
	if f.usual > 0 && latency > firstSlowFactor*f.usual {
		f.bad()
		return
	}
	f.usual = mix(f.usual, latency)
	f.slowRun = 0
	f.goodRun++
	if f.limit < f.full && f.goodRun >= firstRounds*f.limit {
		f.goodRun = 0
		f.limit = min(2*f.limit, f.full)
	}
}

func (f *firstLimit) Done(now time.Duration, o cold.Outcome) {
	f.running--
	switch {
	case o.Cancelled:
	case o.Failed:
		f.bad()
	default:
		f.progress = now
		f.work = mix(f.work, o.Took)
	}
}

func (f *firstLimit) Tick(now time.Duration) {
	if f.running > 0 && now-f.progress > max(firstStall, 4*f.work) {
		f.AssumeCold()
		f.progress = now
	}
}

func (f *firstLimit) bad() {
	f.goodRun = 0
	f.slowRun++
	if f.slowRun >= firstSlowRun {
		f.AssumeCold()
	}
}

func (f *firstLimit) AssumeCold()             { f.limit, f.slowRun, f.goodRun = f.coldLimit, 0, 0 }
func (f *firstLimit) Limit() int              { return f.limit }
func (f *firstLimit) Running() int            { return f.running }
func (f *firstLimit) WorkTime() time.Duration { return f.work }

func mix(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}
	return average + (value-average)/8
}
