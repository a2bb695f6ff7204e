package engine

import (
	"context"
	"time"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// Outcomes of a request.
const (
	whole     = "whole"
	cancelled = "cancelled"
	fallen    = "fallen"
	refused   = "refused"
)

// job is one request as the engine runs it. It goes on when its caller has gone:
// only a cancel ends it early.
type job struct {
	web.Watched
	id      string
	request completionRequest
	work    work
	ctx     context.Context
	cancel  context.CancelFunc
	ended   chan struct{}
	made    int
	outcome string
}

// progress returns the tokens made, and the outcome once there is one.
func (j *job) progress() (made int, outcome string) {
	j.Do(func() { made, outcome = j.made, j.outcome })
	return made, outcome
}

// start takes a request and begins to run it; nil while fallen over.
func (e *engine) start(id string, request completionRequest) *job {
	taken, ok := e.warmth.begin()
	arrival := Arrival{ID: id, BeginMS: web.NowMS(), Cold: e.warmth.now().Cold}
	if !ok {
		arrival.Outcome = refused
		e.Do(func() { e.arrivals = append(e.arrivals, arrival) })
		return nil
	}
	j := &job{id: id, request: request, work: taken, ended: make(chan struct{})}
	j.ctx, j.cancel = context.WithCancel(context.Background())
	e.Do(func() {
		go e.run(j, len(e.arrivals))
		e.arrivals = append(e.arrivals, arrival)
		e.jobs[id] = j
	})
	return j
}

func (e *engine) run(j *job, arrival int) {
	defer close(j.ended)
	defer j.cancel()
	outcome := e.generate(j)
	e.warmth.end(j.work, outcome == whole)
	e.Do(func() {
		e.arrivals[arrival].EndMS = web.NowMS()
		e.arrivals[arrival].Outcome = outcome
	})
	j.Do(func() { j.outcome = outcome })
}

// generate makes the tokens one after another and returns the outcome.
func (e *engine) generate(j *job) string {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-j.ctx.Done():
		return cancelled
	case <-j.work.fell:
		return fallen
	}
	wait := e.config.Token + prefill
	for range j.request.MaxTokens {
		if e.warmth.now().Cold {
			wait *= coldFactor
		}
		select {
		case <-time.After(wait):
			j.Do(func() { j.made++ })
			wait = e.config.Token
		case <-j.ctx.Done():
			return cancelled
		case <-j.work.fell:
			return fallen
		}
	}
	return whole
}
