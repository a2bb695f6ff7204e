package engine

import (
	"time"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// ColdConfig sets the behaviour of an engine in cold start.
type ColdConfig struct {
	// Limit is the number of concurrent requests that a cold engine can handle; 0 for an engine
	// that is never cold.
	Limit int
	// RequestsUntilWarm is the number of completed requests after which the engine is warm.
	RequestsUntilWarm int
	// CrashTime is how long all requests fail after an overload.
	CrashTime time.Duration
}

// State is the engine's own count of its work. Exempt is the number of running requests that don't
// count toward the cold limit, as the engine turned cold while they ran or shortly before.
type State struct {
	Cold           bool `json:"cold"`
	Running        int  `json:"running"`
	Exempt         int  `json:"spared"`
	MaxRunningCold int  `json:"high_water_cold"`
	Overloads      int  `json:"overloads"`
	Completed      int  `json:"completed"`
}

// coldStart counts the running requests of an engine and makes it crash when a cold engine is
// overloaded.
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

// runningRequest is a request that the engine runs. crashed is closed when the engine crashes.
type runningRequest struct {
	crashed    <-chan struct{}
	generation int
}

// begin starts a request, or returns false while the engine is crashed. A request beyond the limit
// makes a cold engine crash.
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

// end removes a request. Completed requests warm up the engine.
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

// turnCold turns the engine cold. Requests that are running or start within the grace period are
// exempt from the cold limit, since real caches empty over time and not at once.
func (w *coldStart) turnCold(grace time.Duration) {
	w.WithLock(func() {
		w.Cold = true
		w.Exempt = w.Running
		w.completedCold = 0
		w.generation++
		w.graceUntil = time.Now().Add(grace)
	})
}

// snapshot returns a copy of the current state.
func (w *coldStart) snapshot() (state State) {
	w.WithLock(func() { state = w.State })
	return state
}
