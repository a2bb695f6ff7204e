package loadtest

import "time"

// Backend describes one fake backend server.
type Backend struct {
	VM, Domain string
	// Full is the number of requests it bears at once when warm, Cold in cold start.
	Full, Cold int
	// WarmAfter is the number of completions after which it is warm.
	WarmAfter int
	// Slow divides its speed; 0 means 1.
	Slow float64
	// Step says that it warms up in one step after WarmAfter completions, and not
	// a little with each.
	Step bool
	// StartsWarm says that it is warm at the start of the run.
	StartsWarm bool
}

// Limits of the fake. They are assumptions, not measurements of an engine.
const (
	// batchCost is how much of its time each request loses to a full batch.
	batchCost = 0.5
	// coldSpeed is the speed at the first request of cold start.
	coldSpeed = 0.2
	// fallAfter is the number of requests that a cold backend server takes beyond
	// what it bears before it falls over.
	fallAfter = 8
	// downFor is the time that a restart after falling over takes.
	downFor = 5 * time.Second
	// partTime is the service time between two parts of a stream, one token.
	partTime = usualEnd / tokens
)

// backend runs work at one speed for all it holds, as continuous batching does.
type backend struct {
	Backend
	clock   *clock
	works   []*work
	done    int
	down    bool
	deadBox bool
	// strain counts requests beyond what it bears, since it last bore its load.
	strain int
	// progress is the virtual service time given to each work so far.
	progress  time.Duration
	updated   time.Duration
	rate      float64
	wake      uint64
	overloads int
	falls     int
	wasted    time.Duration
}

// work is one request at a backend server.
type work struct {
	start, first, finish time.Duration
	gotFirst             bool
	onFirst              func()
	// onPart tells of each part of the stream after the first token; nil for nobody.
	onPart func()
	part   time.Duration
	onDone func(failed bool)
}

func newBackend(c *clock, spec Backend) *backend {
	if spec.Slow == 0 {
		spec.Slow = 1
	}
	b := &backend{Backend: spec, clock: c}
	if spec.StartsWarm {
		b.done = spec.WarmAfter
	}
	return b
}

func (b *backend) warmth() float64 {
	if b.Step && b.done < b.WarmAfter {
		return 0
	}
	return min(float64(b.done)/float64(max(b.WarmAfter, 1)), 1)
}

// bears is the number of requests it bears at once now.
func (b *backend) bears() int {
	return b.Cold + int(float64(b.Full-b.Cold)*b.warmth())
}

func (b *backend) speed() float64 {
	running := float64(len(b.works))
	warm := coldSpeed + (1-coldSpeed)*b.warmth()
	batch := 1 + batchCost*running/float64(b.Full)
	crowd := max(running/float64(b.bears()), 1)
	return warm / batch / crowd / b.Slow
}

// run begins a piece of work that needs so much time, alone, to its first token
// and from there to its end.
func (b *backend) run(toFirst, toEnd time.Duration, onFirst, onPart func(), onDone func(failed bool)) *work {
	b.advance()
	w := &work{start: b.progress, first: b.progress + toFirst, finish: b.progress + toFirst + toEnd, onFirst: onFirst, onPart: onPart, onDone: onDone}
	w.part = w.first + partTime
	if b.down || b.deadBox {
		b.clock.after(time.Millisecond, func() { onDone(true) })
		return w
	}
	if len(b.works) >= b.bears() && b.warmth() < 1 {
		b.overloads++
		b.strain++
	} else {
		b.strain = 0
	}
	b.works = append(b.works, w)
	if b.strain > fallAfter {
		b.fallOver()
		return w
	}
	b.schedule()
	return w
}

func (b *backend) cancel(w *work) {
	b.advance()
	for i, other := range b.works {
		if other == w {
			b.wasted += b.progress - w.start
			b.works = append(b.works[:i], b.works[i+1:]...)
			break
		}
	}
	b.schedule()
}

// turnCold makes a warm backend server cold without telling anybody.
func (b *backend) turnCold() {
	b.advance()
	b.done = 0
	b.strain = 0
	b.schedule()
}

// slowDown divides the speed from now on.
func (b *backend) slowDown(by float64) {
	b.advance()
	b.Slow = by
	b.schedule()
}

// die ends the VM: what it held gets no answer at all.
func (b *backend) die() {
	b.advance()
	b.loseAll(nil)
	b.deadBox = true
}

// revive brings a dead VM back, in cold start.
func (b *backend) revive() {
	b.deadBox, b.down, b.done, b.strain = false, false, 0, 0
}

func (b *backend) fallOver() {
	b.falls++
	b.down = true
	b.done = 0
	b.strain = 0
	b.loseAll(func(w *work) { w.onDone(true) })
	b.clock.after(downFor, func() { b.down = false })
}

func (b *backend) loseAll(tell func(w *work)) {
	lost := b.works
	b.works = nil
	b.wake++
	for _, w := range lost {
		b.wasted += b.progress - w.start
		if tell != nil {
			b.clock.after(time.Millisecond, func() { tell(w) })
		}
	}
}

// advance brings progress up to now at the speed that held since the last change.
func (b *backend) advance() {
	b.progress += time.Duration(b.rate * float64(b.clock.now-b.updated))
	b.updated = b.clock.now
}

// schedule sets the speed anew and waits for the next token or end.
func (b *backend) schedule() {
	b.wake++
	if len(b.works) == 0 {
		b.rate = 0
		return
	}
	b.rate = b.speed()
	next := b.works[0].next()
	for _, w := range b.works[1:] {
		next = min(next, w.next())
	}
	wake := b.wake
	b.clock.after(time.Duration(float64(next-b.progress)/b.rate)+1, func() {
		if wake == b.wake {
			b.step()
		}
	})
}

func (w *work) next() time.Duration {
	switch {
	case !w.gotFirst:
		return w.first
	case w.onPart != nil:
		return min(w.part, w.finish)
	default:
		return w.finish
	}
}

// step tells of the first tokens, parts and ends that have come.
func (b *backend) step() {
	b.advance()
	var first, parts, ended, left []*work
	for _, w := range b.works {
		if !w.gotFirst && b.progress >= w.first {
			w.gotFirst = true
			first = append(first, w)
		}
		if w.gotFirst && w.onPart != nil && b.progress >= w.part && b.progress < w.finish {
			w.part += partTime
			parts = append(parts, w)
		}
		if b.progress >= w.finish {
			ended = append(ended, w)
		} else {
			left = append(left, w)
		}
	}
	b.works = left
	b.done += len(ended)
	b.schedule()
	for _, w := range first {
		w.onFirst()
	}
	for _, w := range parts {
		w.onPart()
	}
	for _, w := range ended {
		w.onDone(false)
	}
}
