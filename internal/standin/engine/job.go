package engine

import (
	"context"
	"time"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// Outcomes of a request.
const (
	outcomeWhole     = "whole"
	outcomeCancelled = "cancelled"
	outcomeCrashed   = "fallen"
	outcomeRefused   = "refused"
)

// job is one request as the engine runs it. It goes on when its caller has gone:
// only a cancel ends it early.
type job struct {
	web.Monitor
	id        string
	request   completionRequest
	running   runningRequest
	ctx       context.Context
	cancel    context.CancelFunc
	ended     chan struct{}
	generated int
	outcome   string
}

// progress returns the tokens made, and the outcome once there is one.
func (j *job) progress() (generated int, outcome string) {
	j.WithLock(func() { generated, outcome = j.generated, j.outcome })
	return generated, outcome
}

// startJob takes a request and begins to run it; nil while fallen over.
func (e *engine) startJob(id string, request completionRequest) *job {
	started, ok := e.coldStart.begin()
	arrival := Arrival{ID: id, BeginMS: web.NowMS(), Cold: e.coldStart.snapshot().Cold}
	if !ok {
		arrival.Outcome = outcomeRefused
		e.WithLock(func() { e.arrivals = append(e.arrivals, arrival) })
		return nil
	}
	j := &job{id: id, request: request, running: started, ended: make(chan struct{})}
	j.ctx, j.cancel = context.WithCancel(context.Background())
	e.WithLock(func() {
		go e.runJob(j, len(e.arrivals))
		e.arrivals = append(e.arrivals, arrival)
		e.jobs[id] = j
	})
	return j
}

func (e *engine) runJob(j *job, arrival int) {
	defer close(j.ended)
	defer j.cancel()
	outcome := e.generate(j)
	e.coldStart.end(j.running, outcome == outcomeWhole)
	e.WithLock(func() {
		e.arrivals[arrival].EndMS = web.NowMS()
		e.arrivals[arrival].Outcome = outcome
	})
	j.WithLock(func() { j.outcome = outcome })
}

// generate makes the tokens one after another and returns the outcome.
func (e *engine) generate(j *job) string {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-j.ctx.Done():
		return outcomeCancelled
	case <-j.running.crashed:
		return outcomeCrashed
	}
	wait := e.config.TokenTime + prefillTime
	for range j.request.MaxTokens {
		if e.coldStart.snapshot().Cold {
			wait *= coldSlowdown
		}
		select {
		case <-time.After(wait):
			j.WithLock(func() { j.generated++ })
			wait = e.config.TokenTime
		case <-j.ctx.Done():
			return outcomeCancelled
		case <-j.running.crashed:
			return outcomeCrashed
		}
	}
	return outcomeWhole
}
