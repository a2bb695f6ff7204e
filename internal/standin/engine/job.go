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

// job is a completion request in the engine. It continues when its caller disconnects; only a
// cancel request ends it early.
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

// progress returns the number of generated tokens, and the outcome once the job has ended.
func (j *job) progress() (generated int, outcome string) {
	j.WithLock(func() { generated, outcome = j.generated, j.outcome })
	return generated, outcome
}

// startJob accepts a request and runs it in the background. It returns nil while the engine is
// crashed.
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

// generate produces the tokens one by one and returns the outcome.
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
