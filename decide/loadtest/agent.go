package loadtest

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/cold"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/decide/queue"
)

// limiter decides whether an agent may give another request to its backend server.
type limiter interface {
	TryStart(now time.Duration) bool
	Observe(now, latency time.Duration)
	Done(now time.Duration, o cold.Outcome)
	Tick(now time.Duration)
	AssumeCold()
	Limit() int
	Running() int
	WorkTime() time.Duration
}

// gapObserver is a limiter that also observes the gaps between the parts of a stream.
type gapObserver interface {
	ObserveGap(now, gap time.Duration, p *cold.Stream)
}

// queueReturner is a limiter that reports when queued requests should be returned to the entries.
type queueReturner interface {
	IsFarOverLimit() bool
}

// agent fronts one backend server.
type agent struct {
	clock   *clock
	backend *backend
	limit   limiter
	queue   *queue.Queue
	queued  map[uint64]*attempt
	// fairQueue says that the queue is ordered by the customers' shares.
	fairQueue bool
	// outOfService says that operators have marked the VM or its failure domain; dead says that the
	// VM is gone.
	outOfService, dead bool
}

// attempt is one attempt of a request at one agent.
type attempt struct {
	*request
	id        uint64
	agent     *agent
	entry     *entry
	work      *work
	startedAt time.Duration
	closed    bool
}

// defaultQueueLength is the default length of an agent's queue.
const defaultQueueLength = 12

func newAgent(c *clock, spec Backend, limit limiter, length int) *agent {
	return &agent{
		clock:   c,
		backend: newBackend(c, spec),
		limit:   limit,
		queue:   queue.New(length),
		queued:  make(map[uint64]*attempt),
	}
}

// handle runs an attempt, queues it, or refuses it.
func (a *agent) handle(t *attempt) {
	item := queue.Item{ID: t.id, Deadline: t.deadline, WorkTime: a.limit.WorkTime()}
	if a.fairQueue {
		item.Share, item.Weight = t.customer, t.weight
	}
	switch {
	case a.dead:
		// A dead VM does not answer; the entry detects it by its silence.
	case a.outOfService:
		t.handleRefusal(api.ResultCode_OUT_OF_SERVICE)
	case a.queue.Len() == 0 && a.limit.TryStart(a.clock.now):
		a.start(t)
	case a.limit.WorkTime() == 0:
		// The queueing time cannot be estimated yet.
		t.handleRefusal(api.ResultCode_COLD)
	case a.queue.Push(a.clock.now, item):
		a.queued[t.id] = t
	default:
		a.displace(t, item)
	}
}

// displace queues an attempt in place of a queued one that is further above its share.
func (a *agent) displace(t *attempt, item queue.Item) {
	displaced, ok := a.queue.Displace(a.clock.now, item)
	if !ok {
		t.handleRefusal(api.ResultCode_SATURATED)
		return
	}
	a.queued[t.id] = t
	victim := a.queued[displaced.ID]
	delete(a.queued, displaced.ID)
	victim.handleRefusal(api.ResultCode_SATURATED)
}

func (a *agent) start(t *attempt) {
	t.startedAt = a.clock.now
	onFirst := func() {
		a.limit.Observe(a.clock.now, a.clock.now-t.startedAt)
		t.handleFirstToken()
	}
	t.work = a.backend.run(t.timeToFirstToken, t.timeToEnd, onFirst, a.partObserver(), func(failed bool) {
		a.limit.Done(a.clock.now, cold.Outcome{Took: a.clock.now - t.startedAt, Failed: failed, Observed: t.work.hasFirstToken})
		t.handleEnd(failed)
		a.startQueued()
	})
}

// partObserver returns a function that passes the gaps of one stream to the limiter, or nil if the
// limiter does not observe gaps.
func (a *agent) partObserver() func() {
	p, ok := a.limit.(gapObserver)
	if !ok {
		return nil
	}
	var pace cold.Stream
	var last time.Duration
	return func() {
		now := a.clock.now
		if last > 0 {
			p.ObserveGap(now, now-last, &pace)
		}
		last = now
	}
}

// startQueued starts queued attempts as slots become free, and refuses those that are past their
// deadline.
func (a *agent) startQueued() {
	now := a.clock.now
	for _, item := range a.queue.RemoveExpired(now) {
		t := a.queued[item.ID]
		delete(a.queued, item.ID)
		t.handleRefusal(api.ResultCode_DEADLINE_UNREACHABLE)
	}
	if f, ok := a.limit.(queueReturner); ok && f.IsFarOverLimit() {
		a.returnQueued()
	}
	for a.queue.Len() > 0 && a.limit.TryStart(now) {
		item, _ := a.queue.Pop()
		t := a.queued[item.ID]
		delete(a.queued, item.ID)
		a.start(t)
	}
}

// returnQueued refuses all queued attempts, so that their entries can retry them elsewhere. Far
// more requests are running than the limit allows, and the queue would not drain soon.
func (a *agent) returnQueued() {
	for item, isQueued := a.queue.Pop(); isQueued; item, isQueued = a.queue.Pop() {
		t := a.queued[item.ID]
		delete(a.queued, item.ID)
		t.handleRefusal(api.ResultCode_COLD)
	}
}

// cancel ends an attempt whose caller has gone.
func (a *agent) cancel(t *attempt) {
	if a.dead {
		return
	}
	if _, isQueued := a.queue.Remove(t.id); isQueued {
		delete(a.queued, t.id)
		return
	}
	if t.work != nil {
		a.backend.cancel(t.work)
		a.limit.Done(a.clock.now, cold.Outcome{Cancelled: true, Observed: t.work.hasFirstToken})
		a.startQueued()
	}
}

func (a *agent) report(fullLimit int) place.Report {
	return place.Report{
		Limit: a.limit.Limit(), FullLimit: fullLimit, Running: a.limit.Running(),
		Queued: a.queue.Len(), WorkTime: a.limit.WorkTime(), Refusing: a.outOfService,
	}
}

// fixedLimiter is the baseline limiter: it always allows the full limit.
type fixedLimiter struct {
	full, running int
	workTime      time.Duration
}

func (f *fixedLimiter) TryStart(time.Duration) bool {
	if f.running >= f.full {
		return false
	}
	f.running++
	return true
}

func (f *fixedLimiter) Observe(_, _ time.Duration) {}

func (f *fixedLimiter) Done(_ time.Duration, o cold.Outcome) {
	f.running--
	if o.Took > 0 {
		f.workTime = o.Took
	}
}

func (f *fixedLimiter) Tick(time.Duration)      {}
func (f *fixedLimiter) AssumeCold()             {}
func (f *fixedLimiter) Limit() int              { return f.full }
func (f *fixedLimiter) Running() int            { return f.running }
func (f *fixedLimiter) WorkTime() time.Duration { return f.workTime }
