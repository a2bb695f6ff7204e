// Package engine is the stand-in for a model engine: completions whose text tests can compute, cold
// start, delayed load reports, and ranks that run in lock-step on expert maps and take orders with
// or without a check of their fences. docs/STANDINS.md describes its HTTP interface.
package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/internal/standin/web"
)

const (
	// prefillTime is added to the time of the first token.
	prefillTime = 5 * time.Millisecond
	// coldSlowdown multiplies the time per token in cold start.
	coldSlowdown = 6
	// loadReportIntervalMS is the minimum time between two load reports. A query returns the report
	// made before it, so reports lag.
	loadReportIntervalMS = 200
)

// Config holds the flags of an engine.
type Config struct {
	Listen string
	// Platform is the base URL of the weight store and the fabric.
	Platform string
	// TokenTime is the time per token of a warm engine.
	TokenTime time.Duration
	// FullLimit is the number of requests that run concurrently; others wait.
	FullLimit int
	// CheckFence makes the engine refuse orders with an outdated fence.
	CheckFence bool
	Cold       ColdConfig
	Ranks      RankConfig
}

// LoadReport is the response of GET /engine/load. Cold stays false when a control request turns a
// warm engine cold: that engine does not report it.
type LoadReport struct {
	Running   int   `json:"running"`
	Waiting   int   `json:"waiting"`
	FullLimit int   `json:"full"`
	Cold      bool  `json:"cold"`
	AtMS      int64 `json:"at_ms"`
}

// Arrival is a request that has reached the engine. Outcome is empty while it runs, then "whole",
// "cancelled", "fallen" or "refused".
type Arrival struct {
	ID      string `json:"id"`
	BeginMS int64  `json:"begin_ms"`
	EndMS   int64  `json:"end_ms"`
	Cold    bool   `json:"cold"`
	Outcome string `json:"outcome"`
}

// Record is the response of GET /control/record.
type Record struct {
	State
	Arrivals []Arrival       `json:"arrivals"`
	Loads    []CompletedLoad `json:"loads"`
	// Maps holds the loaded expert maps in the order of loading.
	Maps []MapOrder `json:"maps"`
}

// controlRequest names a request to cancel, or says how long a cold engine's caches last.
type controlRequest struct {
	ID      string `json:"id"`
	GraceMS int64  `json:"grace_ms"`
}

// runningIDs is the response of GET /engine/running.
type runningIDs struct {
	IDs []string `json:"ids"`
}

type engine struct {
	web.Monitor
	config         Config
	coldStart      *coldStart
	slots          chan struct{}
	orderState     *orderState
	ranks          *ranks
	popularity     popularity
	jobs           map[string]*job
	arrivals       []Arrival
	loadReport     LoadReport
	heldWeights    HeldWeights
	completedLoads []CompletedLoad
}

// Run serves until the process receives SIGTERM or SIGINT.
func Run(config Config, logger log.Logger) error {
	cold := config.Cold.Limit > 0
	e := &engine{
		config:     config,
		coldStart:  &coldStart{config: config.Cold, State: State{Cold: cold}, crashed: make(chan struct{})},
		slots:      make(chan struct{}, config.FullLimit),
		orderState: newOrderState(config.CheckFence),
		ranks:      newRanks(config.Ranks, config.Platform),
		jobs:       map[string]*job{},
		loadReport: LoadReport{FullLimit: config.FullLimit, Cold: cold},
		popularity: popularity{ranks: make([]RankTotals, config.Ranks.Ranks), updatedAt: time.Now()},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("GET /engine/load", web.GetHandler(e.showLoad))
	mux.HandleFunc("GET /engine/running", web.GetHandler(e.showRunning))
	mux.HandleFunc("POST /engine/cancel", web.SetHandler(e.cancel))
	mux.HandleFunc("GET /engine/version", web.GetHandler(e.showHeldWeights))
	mux.HandleFunc("POST /engine/orders", web.JSONHandler(e.loadWeights))
	mux.HandleFunc("GET /engine/experts", web.GetHandler(e.popularity.advance))
	mux.HandleFunc("POST /control/experts", web.SetHandler(e.popularity.set))
	mux.HandleFunc("GET /engine/map", web.JSONHandler(e.showMap))
	mux.HandleFunc("POST /engine/map/load", web.JSONHandler(e.loadMap))
	mux.HandleFunc("POST /engine/map/give", web.JSONHandler(e.giveMap))
	mux.HandleFunc("POST /control/cold", web.SetHandler(func(t controlRequest) { e.coldStart.turnCold(web.Millis(t.GraceMS)) }))
	mux.HandleFunc("GET /control/record", web.GetHandler(e.showRecord))
	if config.Ranks.Group != "" {
		go e.ranks.runSteps()
	}
	srv := &http.Server{Handler: mux, ConnContext: e.orderState.connContext, ConnState: e.orderState.connState}
	return web.Serve(config.Listen, srv, logger)
}

// showLoad returns the last load report and makes a new one if that is old.
func (e *engine) showLoad() (report LoadReport) {
	e.WithLock(func() {
		report = e.loadReport
		if now := web.NowMS(); now-report.AtMS >= loadReportIntervalMS {
			state := e.coldStart.snapshot()
			e.loadReport.AtMS = now
			e.loadReport.Running = len(e.slots)
			e.loadReport.Waiting = max(0, state.Running-e.loadReport.Running)
			e.loadReport.Cold = report.Cold && state.Cold
		}
	})
	return report
}

func (e *engine) showRunning() runningIDs {
	running := runningIDs{IDs: []string{}}
	e.WithLock(func() {
		for id, j := range e.jobs {
			if _, outcome := j.progress(); outcome == "" {
				running.IDs = append(running.IDs, id)
			}
		}
	})
	return running
}

// cancel cancels a request and waits until it has ended.
func (e *engine) cancel(t controlRequest) {
	var j *job
	e.WithLock(func() { j = e.jobs[t.ID] })
	if j != nil {
		j.cancel()
		<-j.ended
	}
}

func (e *engine) showRecord() (record Record) {
	e.WithLock(func() {
		record.State, record.Arrivals, record.Loads = e.coldStart.snapshot(), slices.Clone(e.arrivals), slices.Clone(e.completedLoads)
	})
	e.ranks.WithLock(func() { record.Maps = slices.Clone(e.ranks.maps) })
	return record
}
