package engine

import (
	"time"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// ColdConfig sets how a cold engine behaves.
type ColdConfig struct {
	// Limit is the number of requests borne at once in cold start; 0 for never cold.
	Limit int
	// WarmAfter is the number of completed requests that warm it up.
	WarmAfter int
	// Fall is how long everything fails after an overload.
	Fall time.Duration
}

// State is the engine's own record of its work. Spared counts the requests that it
// bears although it turned cold under them.
type State struct {
	Cold          bool `json:"cold"`
	Running       int  `json:"running"`
	Spared        int  `json:"spared"`
	HighWaterCold int  `json:"high_water_cold"`
	Overloads     int  `json:"overloads"`
	Completed     int  `json:"completed"`
}

// warmth counts the work of an engine and lets it fall over.
type warmth struct {
	web.Watched
	State
	config      ColdConfig
	warming     int
	era         int
	fallenUntil time.Time
	graceUntil  time.Time
	fell        chan struct{}
}

// work is one running request. fell is closed when the engine falls over under it.
type work struct {
	fell <-chan struct{}
	era  int
}

// begin takes one request, or returns false while the engine is fallen over. A
// request past the limit makes a cold engine fall over.
func (w *warmth) begin() (taken work, ok bool) {
	w.Do(func() {
		now := time.Now()
		if ok = !now.Before(w.fallenUntil); !ok {
			return
		}
		taken = work{w.fell, w.era}
		w.Running++
		if w.Cold && now.Before(w.graceUntil) {
			w.Spared++
			taken.era--
		}
		if !w.Cold || taken.era < w.era {
			return
		}
		w.HighWaterCold = max(w.HighWaterCold, w.Running-w.Spared)
		if w.Running-w.Spared > w.config.Limit {
			w.Overloads++
			w.warming = 0
			w.fallenUntil = now.Add(w.config.Fall)
			close(w.fell)
			w.fell = make(chan struct{})
		}
	})
	return taken, ok
}

// end gives up one request; completed ones warm the engine.
func (w *warmth) end(taken work, completed bool) {
	w.Do(func() {
		w.Running--
		if completed {
			w.Completed++
		}
		if taken.era < w.era {
			w.Spared--
		} else if w.Cold && completed {
			w.warming++
			w.Cold = w.warming < w.config.WarmAfter
		}
	})
}

// turnCold turns the engine cold. What runs now is spared, and what begins within
// the grace is borne too: caches empty over a moment and not at once.
func (w *warmth) turnCold(grace time.Duration) {
	w.Do(func() {
		w.Cold = true
		w.Spared = w.Running
		w.warming = 0
		w.era++
		w.graceUntil = time.Now().Add(grace)
	})
}

// now returns the record as it stands.
func (w *warmth) now() (state State) {
	w.Do(func() { state = w.State })
	return state
}
