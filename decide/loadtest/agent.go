package loadtest

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/cold"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/decide/queue"
)

// limiter is what an agent asks before it gives work to its backend server.
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

// pacer is a limiter that takes the times between the parts of a stream too.
type pacer interface {
	Gap(now, gap time.Duration, p *cold.Pace)
}

// faller is a limiter that says when what waits is better handed back.
type faller interface {
	Fallen() bool
}

// agent stands before one backend server.
type agent struct {
	clock   *clock
	backend *backend
	limit   limiter
	queue   *queue.Queue
	waiting map[uint64]*attempt
	// shares says that the queue goes by customers' shares.
	shares bool
	// out says that operators have marked the VM or its domain; dead, that the VM
	// is gone.
	out, dead bool
}

// attempt is one request at one agent.
type attempt struct {
	*request
	id    uint64
	agent *agent
	entry *entry
	work  *work
	began time.Duration
	over  bool
}

// usualQueue is the default length of an agent's queue.
const usualQueue = 12

func newAgent(c *clock, spec Backend, limit limiter, length int) *agent {
	return &agent{
		clock:   c,
		backend: newBackend(c, spec),
		limit:   limit,
		queue:   queue.New(length),
		waiting: make(map[uint64]*attempt),
	}
}

// take runs an attempt, lets it wait, or refuses it.
func (a *agent) take(t *attempt) {
	item := queue.Item{ID: t.id, Deadline: t.deadline, WorkTime: a.limit.WorkTime()}
	if a.shares {
		item.Share, item.Weight = t.customer, t.weight
	}
	switch {
	case a.dead:
		// Nothing answers: the entry finds out by silence.
	case a.out:
		t.refused(api.ResultCode_OUT_OF_SERVICE)
	case a.queue.Len() == 0 && a.limit.TryStart(a.clock.now):
		a.start(t)
	case a.limit.WorkTime() == 0:
		// Nobody knows yet how long a wait here would be.
		t.refused(api.ResultCode_COLD)
	case a.queue.Push(a.clock.now, item):
		a.waiting[t.id] = t
	default:
		a.displace(t, item)
	}
}

// displace lets an attempt wait in place of one that is further beyond its share.
func (a *agent) displace(t *attempt, item queue.Item) {
	out, ok := a.queue.Displace(a.clock.now, item)
	if !ok {
		t.refused(api.ResultCode_SATURATED)
		return
	}
	a.waiting[t.id] = t
	victim := a.waiting[out.ID]
	delete(a.waiting, out.ID)
	victim.refused(api.ResultCode_SATURATED)
}

func (a *agent) start(t *attempt) {
	t.began = a.clock.now
	onFirst := func() {
		a.limit.Observe(a.clock.now, a.clock.now-t.began)
		t.firstToken()
	}
	t.work = a.backend.run(t.toFirst, t.toEnd, onFirst, a.onPart(), func(failed bool) {
		a.limit.Done(a.clock.now, cold.Outcome{Took: a.clock.now - t.began, Failed: failed, Observed: t.work.gotFirst})
		t.ended(failed)
		a.next()
	})
}

// onPart tells the limiter the pace of one stream; nil when it does not ask.
func (a *agent) onPart() func() {
	p, ok := a.limit.(pacer)
	if !ok {
		return nil
	}
	var pace cold.Pace
	var last time.Duration
	return func() {
		now := a.clock.now
		if last > 0 {
			p.Gap(now, now-last, &pace)
		}
		last = now
	}
}

// next starts what waits, once there is room.
func (a *agent) next() {
	now := a.clock.now
	for _, item := range a.queue.RemoveExpired(now) {
		t := a.waiting[item.ID]
		delete(a.waiting, item.ID)
		t.refused(api.ResultCode_DEADLINE_UNREACHABLE)
	}
	if f, ok := a.limit.(faller); ok && f.Fallen() {
		a.giveBack()
	}
	for a.queue.Len() > 0 && a.limit.TryStart(now) {
		item, _ := a.queue.Pop()
		t := a.waiting[item.ID]
		delete(a.waiting, item.ID)
		a.start(t)
	}
}

// giveBack hands what waits back to the entries: far more runs than its
// limit allows.
func (a *agent) giveBack() {
	for item, waits := a.queue.Pop(); waits; item, waits = a.queue.Pop() {
		t := a.waiting[item.ID]
		delete(a.waiting, item.ID)
		t.refused(api.ResultCode_COLD)
	}
}

// cancel ends an attempt whose caller has gone.
func (a *agent) cancel(t *attempt) {
	if a.dead {
		return
	}
	if _, waits := a.queue.Remove(t.id); waits {
		delete(a.waiting, t.id)
		return
	}
	if t.work != nil {
		a.backend.cancel(t.work)
		a.limit.Done(a.clock.now, cold.Outcome{Cancelled: true, Observed: t.work.gotFirst})
		a.next()
	}
}

func (a *agent) report(full int) place.Report {
	return place.Report{
		Limit: a.limit.Limit(), FullLimit: full, Running: a.limit.Running(),
		Queued: a.queue.Len(), WorkTime: a.limit.WorkTime(), Refusing: a.out,
	}
}

// fixedLimit is the baseline limiter: always the full limit.
type fixedLimit struct {
	full, running int
	work          time.Duration
}

func (f *fixedLimit) TryStart(time.Duration) bool {
	if f.running >= f.full {
		return false
	}
	f.running++
	return true
}

func (f *fixedLimit) Observe(_, _ time.Duration) {}

func (f *fixedLimit) Done(_ time.Duration, o cold.Outcome) {
	f.running--
	if o.Took > 0 {
		f.work = o.Took
	}
}

func (f *fixedLimit) Tick(time.Duration)      {}
func (f *fixedLimit) AssumeCold()             {}
func (f *fixedLimit) Limit() int              { return f.full }
func (f *fixedLimit) Running() int            { return f.running }
func (f *fixedLimit) WorkTime() time.Duration { return f.work }
