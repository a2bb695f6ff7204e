// Package engine plays a model engine: completions with a text that tests can
// compute, cold start, lagging load reports, and ranks in lock-step on an expert map
// that take orders with and without fencing checks.
// docs/STANDINS.md describes its HTTP interface.
package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/internal/standin/web"
)

const (
	// prefill is the time before the first token, besides its own.
	prefill = 5 * time.Millisecond
	// coldFactor makes tokens slower in cold start.
	coldFactor = 6
	// loadLagMS is the age of load reports.
	loadLagMS = 200
)

// Config holds the flags of an engine.
type Config struct {
	Listen string
	// Platform is the base URL of the weight store and the fabric.
	Platform string
	// Token is the time of one token when warm.
	Token time.Duration
	// Full is the number of requests that run at once when warm; others wait.
	Full int
	// CheckFence refuses orders with an old fencing number.
	CheckFence bool
	Cold       ColdConfig
	Ranks      RankConfig
}

// Load is the answer of GET /engine/load. Cold stays false when the engine turns
// cold without a word.
type Load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Full    int   `json:"full"`
	Cold    bool  `json:"cold"`
	AtMS    int64 `json:"at_ms"`
}

// Arrival is one request that has reached the engine. Outcome is "" while it runs,
// then "whole", "cancelled", "fallen" or "refused".
type Arrival struct {
	ID      string `json:"id"`
	BeginMS int64  `json:"begin_ms"`
	EndMS   int64  `json:"end_ms"`
	Cold    bool   `json:"cold"`
	Outcome string `json:"outcome"`
}

// Record is the answer of GET /control/record.
type Record struct {
	State
	Arrivals []Arrival `json:"arrivals"`
	Loads    []Loaded  `json:"loads"`
	// Maps are the expert maps loaded, in order.
	Maps []MapOrder `json:"maps"`
}

// target names a request, or says how long a cold engine's caches last.
type target struct {
	ID      string `json:"id"`
	GraceMS int64  `json:"grace_ms"`
}

// runningIDs is the answer of GET /engine/running.
type runningIDs struct {
	IDs []string `json:"ids"`
}

type engine struct {
	web.Watched
	config     Config
	warmth     *warmth
	slots      chan struct{}
	orders     *orders
	ranks      *ranks
	popularity popularity
	jobs       map[string]*job
	arrivals   []Arrival
	load       Load
	held       Held
	loads      []Loaded
}

// Run serves until the process is told to stop.
func Run(config Config, logger log.Logger) error {
	cold := config.Cold.Limit > 0
	e := &engine{
		config:     config,
		warmth:     &warmth{config: config.Cold, State: State{Cold: cold}, fell: make(chan struct{})},
		slots:      make(chan struct{}, config.Full),
		orders:     newOrders(config.CheckFence),
		ranks:      newRanks(config.Ranks, config.Platform),
		jobs:       map[string]*job{},
		load:       Load{Full: config.Full, Cold: cold},
		popularity: popularity{ranks: make([]RankCount, config.Ranks.Ranks), at: time.Now()},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /engine/load", web.Get(e.showLoad))
	mux.HandleFunc("GET /engine/running", web.Get(e.showRunning))
	mux.HandleFunc("POST /engine/cancel", web.Set(e.cancel))
	mux.HandleFunc("GET /engine/version", web.Get(e.showHeld))
	mux.HandleFunc("POST /engine/orders", web.Call(e.carryOut))
	mux.HandleFunc("GET /engine/experts", web.Get(e.popularity.count))
	mux.HandleFunc("POST /control/experts", web.Set(e.popularity.set))
	mux.HandleFunc("GET /engine/map", web.Call(e.showMap))
	mux.HandleFunc("POST /engine/map/load", web.Call(e.loadMap))
	mux.HandleFunc("POST /engine/map/give", web.Call(e.giveMap))
	mux.HandleFunc("POST /control/cold", web.Set(func(t target) { e.warmth.turnCold(web.Millis(t.GraceMS)) }))
	mux.HandleFunc("GET /control/record", web.Get(e.showRecord))
	if config.Ranks.Group != "" {
		go e.ranks.run()
	}
	srv := &http.Server{Handler: mux, ConnContext: e.orders.connContext, ConnState: e.orders.connState}
	return web.Serve(config.Listen, srv, logger)
}

// showLoad answers with the report made last, and makes a new one when it is old.
func (e *engine) showLoad() (shown Load) {
	e.Do(func() {
		shown = e.load
		if now := web.NowMS(); now-shown.AtMS >= loadLagMS {
			state := e.warmth.now()
			e.load.AtMS = now
			e.load.Running = len(e.slots)
			e.load.Waiting = max(0, state.Running-e.load.Running)
			e.load.Cold = shown.Cold && state.Cold
		}
	})
	return shown
}

func (e *engine) showRunning() runningIDs {
	running := runningIDs{IDs: []string{}}
	e.Do(func() {
		for id, j := range e.jobs {
			if _, outcome := j.progress(); outcome == "" {
				running.IDs = append(running.IDs, id)
			}
		}
	})
	return running
}

// cancel ends a request and returns when it has ended.
func (e *engine) cancel(t target) {
	var j *job
	e.Do(func() { j = e.jobs[t.ID] })
	if j != nil {
		j.cancel()
		<-j.ended
	}
}

func (e *engine) showRecord() (record Record) {
	e.Do(func() {
		record.State, record.Arrivals, record.Loads = e.warmth.now(), slices.Clone(e.arrivals), slices.Clone(e.loads)
	})
	e.ranks.Do(func() { record.Maps = slices.Clone(e.ranks.maps) })
	return record
}
