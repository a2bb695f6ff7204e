package loadtest

import "time"

// Backend describes one fake backend server.
type Backend struct {
	VM, Domain string
	// WarmCapacity is the number of requests that it handles concurrently when warm, ColdCapacity
	// during cold start.
	WarmCapacity, ColdCapacity int
	// WarmAfterCompletions is the number of completions after which it is warm.
	WarmAfterCompletions int
	// Slowdown divides its speed; 0 means 1.
	Slowdown float64
	// WarmsInOneStep says that it becomes warm in one step after WarmAfterCompletions completions,
	// not gradually with each.
	WarmsInOneStep bool
	// StartsWarm says that it is warm at the start of the run.
	StartsWarm bool
}

// Parameters of the fake. They are assumptions and not taken from a real engine.
const (
	// batchOverhead is the fraction by which a full batch prolongs each request.
	batchOverhead = 0.5
	// coldSpeed is the relative speed at the first request of a cold start.
	coldSpeed = 0.2
	// overloadsUntilCrash is the number of requests above its capacity that a cold backend server
	// accepts before it crashes.
	overloadsUntilCrash = 8
	// restartTime is the time that a restart after a crash takes.
	restartTime = 5 * time.Second
	// partTime is the service time between two parts of a stream, one token.
	partTime = defaultTimeToEnd / tokensPerAnswer
)

// backend processes all its requests at one common speed, as continuous batching does.
type backend struct {
	Backend
	clock       *clock
	running     []*work
	completions int
	down        bool
	vmDead      bool
	// consecutiveOverloads counts the requests started above its capacity since the last one within
	// it.
	consecutiveOverloads int
	// progress is the virtual service time given to each request so far.
	progress       time.Duration
	updatedAt      time.Duration
	rate           float64
	wakeGeneration uint64
	overloads      int
	crashes        int
	wastedTime     time.Duration
}

// work is one request at a backend server. Its times are on the scale of the backend's progress.
type work struct {
	startedAt, firstTokenAt, finishAt time.Duration
	hasFirstToken                     bool
	onFirstToken                      func()
	// onPart is called for each part of the stream after the first token; nil for no callback.
	onPart     func()
	nextPartAt time.Duration
	onDone     func(failed bool)
}

func newBackend(c *clock, spec Backend) *backend {
	if spec.Slowdown == 0 {
		spec.Slowdown = 1
	}
	b := &backend{Backend: spec, clock: c}
	if spec.StartsWarm {
		b.completions = spec.WarmAfterCompletions
	}
	return b
}

// warmth returns how far the cold start has progressed, from 0 to 1.
func (b *backend) warmth() float64 {
	if b.WarmsInOneStep && b.completions < b.WarmAfterCompletions {
		return 0
	}
	return min(float64(b.completions)/float64(max(b.WarmAfterCompletions, 1)), 1)
}

// capacity returns the number of requests that it can handle concurrently now.
func (b *backend) capacity() int {
	return b.ColdCapacity + int(float64(b.WarmCapacity-b.ColdCapacity)*b.warmth())
}

// speed returns the current speed relative to a warm backend server with a single request.
func (b *backend) speed() float64 {
	runningCount := float64(len(b.running))
	warm := coldSpeed + (1-coldSpeed)*b.warmth()
	batch := 1 + batchOverhead*runningCount/float64(b.WarmCapacity)
	overload := max(runningCount/float64(b.capacity()), 1)
	return warm / batch / overload / b.Slowdown
}

// run starts a request that takes timeToFirstToken until its first token and timeToEnd from there
// to its end, when it is alone at a warm backend server.
func (b *backend) run(timeToFirstToken, timeToEnd time.Duration, onFirstToken, onPart func(), onDone func(failed bool)) *work {
	b.advance()
	w := &work{startedAt: b.progress, firstTokenAt: b.progress + timeToFirstToken, finishAt: b.progress + timeToFirstToken + timeToEnd, onFirstToken: onFirstToken, onPart: onPart, onDone: onDone}
	w.nextPartAt = w.firstTokenAt + partTime
	if b.down || b.vmDead {
		b.clock.after(time.Millisecond, func() { onDone(true) })
		return w
	}
	if len(b.running) >= b.capacity() && b.warmth() < 1 {
		b.overloads++
		b.consecutiveOverloads++
	} else {
		b.consecutiveOverloads = 0
	}
	b.running = append(b.running, w)
	if b.consecutiveOverloads > overloadsUntilCrash {
		b.crash()
		return w
	}
	b.schedule()
	return w
}

func (b *backend) cancel(w *work) {
	b.advance()
	for i, other := range b.running {
		if other == w {
			b.wastedTime += b.progress - w.startedAt
			b.running = append(b.running[:i], b.running[i+1:]...)
			break
		}
	}
	b.schedule()
}

// turnCold makes a warm backend server cold without any notification.
func (b *backend) turnCold() {
	b.advance()
	b.completions = 0
	b.consecutiveOverloads = 0
	b.schedule()
}

// slowDown divides the speed by factor from now on.
func (b *backend) slowDown(factor float64) {
	b.advance()
	b.Slowdown = factor
	b.schedule()
}

// die ends the VM. The requests that it was serving get no answer.
func (b *backend) die() {
	b.advance()
	b.dropAll(nil)
	b.vmDead = true
}

// revive restarts a dead VM, in cold start.
func (b *backend) revive() {
	b.vmDead, b.down, b.completions, b.consecutiveOverloads = false, false, 0, 0
}

// crash fails all running requests; the backend server restarts cold after restartTime.
func (b *backend) crash() {
	b.crashes++
	b.down = true
	b.completions = 0
	b.consecutiveOverloads = 0
	b.dropAll(func(w *work) { w.onDone(true) })
	b.clock.after(restartTime, func() { b.down = false })
}

// dropAll drops the running requests and calls notify, if set, for each.
func (b *backend) dropAll(notify func(w *work)) {
	lost := b.running
	b.running = nil
	b.wakeGeneration++
	for _, w := range lost {
		b.wastedTime += b.progress - w.startedAt
		if notify != nil {
			b.clock.after(time.Millisecond, func() { notify(w) })
		}
	}
}

// advance brings progress up to now at the speed that applied since the last change.
func (b *backend) advance() {
	b.progress += time.Duration(b.rate * float64(b.clock.now-b.updatedAt))
	b.updatedAt = b.clock.now
}

// schedule recomputes the speed and schedules the next token or end.
func (b *backend) schedule() {
	b.wakeGeneration++
	if len(b.running) == 0 {
		b.rate = 0
		return
	}
	b.rate = b.speed()
	next := b.running[0].nextEvent()
	for _, w := range b.running[1:] {
		next = min(next, w.nextEvent())
	}
	generation := b.wakeGeneration
	b.clock.after(time.Duration(float64(next-b.progress)/b.rate)+1, func() {
		if generation == b.wakeGeneration {
			b.deliverDue()
		}
	})
}

// nextEvent returns the progress at which the next token or the end is due.
func (w *work) nextEvent() time.Duration {
	switch {
	case !w.hasFirstToken:
		return w.firstTokenAt
	case w.onPart != nil:
		return min(w.nextPartAt, w.finishAt)
	default:
		return w.finishAt
	}
}

// deliverDue reports the first tokens, parts and ends that are due.
func (b *backend) deliverDue() {
	b.advance()
	var first, parts, ended, remaining []*work
	for _, w := range b.running {
		if !w.hasFirstToken && b.progress >= w.firstTokenAt {
			w.hasFirstToken = true
			first = append(first, w)
		}
		if w.hasFirstToken && w.onPart != nil && b.progress >= w.nextPartAt && b.progress < w.finishAt {
			w.nextPartAt += partTime
			parts = append(parts, w)
		}
		if b.progress >= w.finishAt {
			ended = append(ended, w)
		} else {
			remaining = append(remaining, w)
		}
	}
	b.running = remaining
	b.completions += len(ended)
	b.schedule()
	for _, w := range first {
		w.onFirstToken()
	}
	for _, w := range parts {
		w.onPart()
	}
	for _, w := range ended {
		w.onDone(false)
	}
}
