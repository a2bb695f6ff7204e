package engine

import (
	"time"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// ColdConfig sets how a cold engine behaves.
type ColdConfig struct {
	// Limit is the number of requests borne at once in cold start; 0 for never cold.
	Limit int
	// RequestsUntilWarm is the number of completed requests that warm it up.
	RequestsUntilWarm int
	// CrashTime is how long everything fails after an overload.
	CrashTime time.Duration
}

// State is the engine's own record of its work. Spared counts the requests that it
// bears although it turned cold under them.
type State struct {
	Cold           bool `json:"cold"`
	Running        int  `json:"running"`
	Exempt         int  `json:"spared"`
	MaxRunningCold int  `json:"high_water_cold"`
	Overloads      int  `json:"overloads"`
	Completed      int  `json:"completed"`
}

// coldStart counts the work of an engine and lets it fall over.
type coldStart struct {
	web.Monitor
	State
	config        ColdConfig
	completedCold int
	generation    int
	crashedUntil  time.Time
	graceUntil    time.Time
	crashed       chan struct{}
}

// runningRequest is one running request. fell is closed when the engine falls over under it.
type runningRequest struct {
	crashed    <-chan struct{}
	generation int
}

// begin takes one request, or returns false while the engine is fallen over. A
// request past the limit makes a cold engine fall over.
func (w *coldStart) begin() (started runningRequest, ok bool) {
	w.WithLock(func() {
		now := time.Now()
		if ok = !now.Before(w.crashedUntil); !ok {
			return
		}
		started = runningRequest{w.crashed, w.generation}
		w.Running++
		if w.Cold && now.Before(w.graceUntil) {
			w.Exempt++
			started.generation--
		}
		if !w.Cold || started.generation < w.generation {
			return
		}
		w.MaxRunningCold = max(w.MaxRunningCold, w.Running-w.Exempt)
		if w.Running-w.Exempt > w.config.Limit {
			w.Overloads++
			w.completedCold = 0
			w.crashedUntil = now.Add(w.config.CrashTime)
			close(w.crashed)
			w.crashed = make(chan struct{})
		}
	})
	return started, ok
}

// end gives up one request; completed ones warm the engine.
func (w *coldStart) end(ended runningRequest, completed bool) {
	w.WithLock(func() {
		w.Running--
		if completed {
			w.Completed++
		}
		if ended.generation < w.generation {
			w.Exempt--
		} else if w.Cold && completed {
			w.completedCold++
			w.Cold = w.completedCold < w.config.RequestsUntilWarm
		}
	})
}

// turnCold turns the engine cold. What runs now is spared, and what begins within
// the grace is borne too: caches empty over a moment and not at once.
func (w *coldStart) turnCold(grace time.Duration) {
	w.WithLock(func() {
		w.Cold = true
		w.Exempt = w.Running
		w.completedCold = 0
		w.generation++
		w.graceUntil = time.Now().Add(grace)
	})
}

// snapshot returns the record as it stands.
func (w *coldStart) snapshot() (state State) {
	w.WithLock(func() { state = w.State })
	return state
}
