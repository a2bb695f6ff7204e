package agent

import (
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/answer"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/decide/cold"
	"github.com/apricothub/apricothub/decide/queue"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/journal"
	"github.com/apricothub/apricothub/internal/member"
)

const (
	// retryElsewhere is when a caller may come back after a refusal that has
	// nothing to do with load.
	retryElsewhere = time.Second
	// returnGrace is how long a stopping agent stays for a caller that was told to come
	// back: the time it was told, and as much again for its way and a busy machine.
	returnGrace = 2 * retryElsewhere
	// orphanGrace is how long work without a ticket goes on that nobody reads the
	// answer of. A caller whose entry died comes back through another within it;
	// past it the engine's room is of more use to others.
	orphanGrace = 10 * time.Second
	// ticketGrace is how long work with a ticket may go on after the caller's
	// deadline: its answer is kept for a caller that asks what became of it.
	ticketGrace = 60 * time.Second
)

// executor runs the work of one backend server. Traffic goroutines share it under
// one lock, which is never held over input or output.
type executor struct {
	vm, incarnation string
	settings        *api.Backend
	backend         *backend
	refusing        func(now time.Duration) api.ResultCode
	logger          log.Logger
	counts          *counters
	journal         *journal.Journal

	mu          sync.Mutex
	ledger      *ticket.Ledger
	answers     *answer.Store
	jobs        map[string]*job // by answer id
	limiter     *cold.Limiter
	inheritance inheritance
	queue       *queue.Queue
	waiting     map[uint64]*job // by queue id
	lastID      uint64
	running     int
	pace        *pace
	asked       bool // the backend server has said what it still runs
	wasOut      bool // the VM was out of service and has not come back since
	// told is when a caller with a ticket was last told to come back; 0 for never.
	told     time.Duration
	prefixes newPrefixes
	silence  silence
	// streamed is when a stream's first token last came; 0 for never.
	streamed time.Duration
	loads    loads
	// loading is set while loads has an order: all that decides on work reads it
	// through refusing, which runs without the lock.
	loading atomic.Bool
}

func newExecutor(self *api.Hello, settings *api.Backend, logger log.Logger, counts *counters) *executor {
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		panic(fmt.Sprintf("no random numbers: %v", err))
	}
	limits := ticket.Limits{
		BlockSize: ticketBlockSize,
		Lifetime:  time.Duration(settings.GetTicketLifetimeMs()) * time.Millisecond,
		MaxBlocks: ticketMaxBlocks,
	}
	keep := time.Duration(settings.GetAnswerKeepMs()) * time.Millisecond
	limit := cold.Config{
		ColdLimit: int(settings.GetColdLimit()),
		FullLimit: int(settings.GetFullLimit()),
	}
	return &executor{
		vm:          self.GetVm(),
		incarnation: self.GetIncarnation(),
		settings:    settings,
		backend:     newBackend(settings.GetUrl()),
		refusing:    func(time.Duration) api.ResultCode { return api.ResultCode_STARTING },
		logger:      logger,
		counts:      counts,
		journal:     journal.New(journalRequests),
		ledger:      ticket.NewLedger(self.GetVm(), self.GetIncarnation(), key, limits),
		answers:     answer.NewStore(settings.GetAnswerBytes(), keep),
		jobs:        make(map[string]*job),
		limiter:     cold.New(limit, clock.Now()),
		pace:        newPace(clock.Now()),
		queue:       queue.New(int(settings.GetQueue())),
		waiting:     make(map[uint64]*job),
		loads:       newLoads(settings),
	}
}

// follow makes the executor refuse work as the member's state says.
func (e *executor) follow(node *member.Node) {
	e.refusing = func(now time.Duration) api.ResultCode {
		state := node.State()
		if code := state.RefusalCode(now); code != api.ResultCode_OK {
			return code
		}
		if state.OutOfService {
			return api.ResultCode_OUT_OF_SERVICE
		}
		if e.loading.Load() {
			return api.ResultCode_COLD
		}
		return api.ResultCode_OK
	}
}

// take decides on a piece of work that arrives: it returns the job whose answer is
// to be delivered, new or joined, or a refusal.
func (e *executor) take(work *api.Work) (*job, *api.Refusal) {
	now := clock.Now()
	refusing := e.refusing(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteReturn(refusing)
	if refused := e.foreign(work); refused != nil {
		return nil, refused
	}
	if !e.asked && refusing == api.ResultCode_OK {
		refusing = api.ResultCode_STARTING
	}
	e.lastID++
	id := fmt.Sprintf("%s:%s:%d", e.vm, e.incarnation, e.lastID)
	if t := work.GetTicket(); t != nil {
		if j, refusal, settled := e.takeTicket(now, work, id, refusing); settled {
			return j, refusal
		}
	} else if refusing != api.ResultCode_OK {
		return nil, notRun(refusing, "The agent takes no new work.", retryElsewhere)
	}
	return e.begin(now, work, id)
}

// foreign refuses work for another service or model. A ticket decides where its request
// goes, whatever the request asks for: the backend server would be given a call that is
// not for it, perhaps one that the plan does not include. The ticket is not touched, and
// stays good for its own service; nobody else can run it.
func (e *executor) foreign(work *api.Work) *api.Refusal {
	own := work.GetModel() == e.settings.GetModel()
	if work.GetKind() == api.WorkKind_WORK_CALL || e.settings.GetService() != "" {
		own = work.GetKind() == api.WorkKind_WORK_CALL && work.GetService() == e.settings.GetService()
	}
	switch {
	case own:
		return nil
	case work.GetTicket() != nil:
		return notRun(api.ResultCode_TICKET_FOREIGN, "The ticket belongs to another service or model.", 0)
	}
	return notRun(api.ResultCode_NO_BACKEND, "The backend server serves something else.", retryElsewhere)
}

// takeTicket lets the ledger decide. The last result is false when the work is to
// be run now.
func (e *executor) takeTicket(now time.Duration, work *api.Work, id string, refusing api.ResultCode) (*job, *api.Refusal, bool) {
	var decision ticket.Decision
	if refusing == api.ResultCode_OK {
		decision = e.ledger.Begin(now, work.GetTicket(), work.GetCustomer(), requestHash(work), id)
	} else {
		// The ticket is voided before "not run" is said: a copy of the request
		// may still sit in a silent link.
		decision = e.ledger.Void(now, work.GetTicket(), work.GetCustomer(), requestHash(work), refusing)
		if decision.Code == refusing {
			e.told = now
		}
	}
	switch decision.Action {
	case ticket.Run:
		return nil, nil, false
	case ticket.Join:
		if j, ok := e.jobs[decision.AnswerID]; ok {
			return j, nil, true
		}
		// The answer was let go of to make room. The ledger knows whether the request
		// ran; that it was begun is no proof.
		e.ledger.ForgetAnswer(work.GetTicket())
		decision = e.ledger.Begin(now, work.GetTicket(), work.GetCustomer(), requestHash(work), id)
	}
	return nil, refusal(decision.Code, decision.Ran, decision.Text, retryElsewhere), true
}

// begin makes the job and starts it on a goroutine of its own: the work goes on when
// the link it came over breaks.
func (e *executor) begin(now time.Duration, work *api.Work, id string) (*job, *api.Refusal) {
	buffer, err := e.answers.Add(id, work.GetCustomer())
	if err != nil {
		e.abandon(work)
		return nil, notRun(api.ResultCode_SATURATED, "The agent's memory for answers is full.", retryElsewhere)
	}
	j := &job{
		work:     work,
		buffer:   buffer,
		arrived:  now,
		deadline: now + time.Duration(work.GetDeadlineMs())*time.Millisecond,
		changed:  make(chan struct{}),
		slot:     make(chan *api.Refusal, 1),
		alone:    now,
	}
	if refused := e.enqueue(now, j); refused != nil {
		// Kept like other answers, the refusals of a full agent would fill the memory.
		e.answers.Drop(buffer)
		return nil, refused
	}
	e.jobs[id] = j
	go e.run(j)
	return j, nil
}

// enqueue gives the job a place at the backend server, or one in the queue, or
// refuses it at once.
func (e *executor) enqueue(now time.Duration, j *job) *api.Refusal {
	if e.queue.Len() == 0 && e.limiter.TryStart(now) {
		e.running++
		e.pace.began(now)
		j.slot <- nil
		return nil
	}
	item := queue.Item{
		ID:       e.lastID,
		Share:    j.work.GetCustomer(),
		Weight:   j.work.GetWeight(),
		Priority: int(j.work.GetPriority()),
		Deadline: j.deadline,
		WorkTime: e.limiter.WorkTime(),
	}
	// A queue before a cold backend server whose work time nobody knows may outlast
	// any deadline; the work is refused at once, and another server may be warm. Work
	// with a ticket has no other server to go to.
	unknown := j.repeatable() && item.WorkTime == 0 && e.limiter.IsCold()
	if !unknown && e.push(now, item, j) {
		return nil
	}
	code := api.ResultCode_SATURATED
	if e.limiter.IsCold() {
		code = api.ResultCode_COLD
	}
	e.counts.refused.Inc(1)
	e.abandon(j.work)
	return notRun(code, "The backend server is full.", e.limiter.RetryAfter(now))
}

// push gives a job a place in the queue. When the queue is full the one furthest beyond
// its share gives way, which may be the newcomer.
func (e *executor) push(now time.Duration, item queue.Item, j *job) bool {
	if e.queue.Push(now, item) {
		e.waiting[item.ID] = j
		return true
	}
	out, ok := e.queue.Displace(now, item)
	if !ok || out.ID == item.ID {
		return false
	}
	e.waiting[item.ID] = j
	e.refuseWaiting(out.ID, notRun(api.ResultCode_OVER_SHARE, "Others of the backend server's callers are within their share.", e.limiter.RetryAfter(now)))
	return true
}

// abandon voids the ticket of work that was taken and has not been sent.
func (e *executor) abandon(work *api.Work) {
	if t := work.GetTicket(); t != nil {
		e.ledger.Abandon(t)
		e.told = clock.Now()
	}
}

// noteEnd tells the ledger how the run of work with a ticket ended.
func (e *executor) noteEnd(work *api.Work, ran api.Ran) {
	if t := work.GetTicket(); t != nil {
		e.ledger.RecordOutcome(t, ran)
	}
}

// forget tells the ledger that the answer is not held any more.
func (e *executor) forget(work *api.Work) {
	if t := work.GetTicket(); t != nil {
		e.ledger.ForgetAnswer(t)
	}
}

// pump starts the waiting jobs for which there is room, and refuses those that
// cannot end in time. When the agent may take no work, all that wait are refused:
// they have not run and the entries place them elsewhere.
func (e *executor) pump(now time.Duration) {
	refusing := e.refusing(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.Tick(now)
	e.noteReturn(refusing)
	for _, item := range e.queue.RemoveExpired(now) {
		e.refuseWaiting(item.ID, notRun(api.ResultCode_DEADLINE_UNREACHABLE, "The work could not end before its deadline.", e.limiter.RetryAfter(now)))
	}
	for e.queue.Len() > 0 && refusing != api.ResultCode_OK {
		item, _ := e.queue.Pop()
		e.refuseWaiting(item.ID, notRun(refusing, "The agent takes no new work.", retryElsewhere))
	}
	if e.limiter.IsFarOverLimit() {
		e.giveBack(now)
	}
	for e.queue.Len() > 0 && e.limiter.TryStart(now) {
		item, _ := e.queue.Pop()
		j := e.waiting[item.ID]
		delete(e.waiting, item.ID)
		e.running++
		e.pace.began(now)
		j.slot <- nil
	}
}

// giveBack refuses what waits and may run elsewhere. Work with a ticket has no other
// backend server to go to, and keeps its place.
func (e *executor) giveBack(now time.Duration) {
	for id, j := range e.waiting {
		if j.repeatable() {
			e.queue.Remove(id)
			e.refuseWaiting(id, notRun(api.ResultCode_COLD, "The backend server has turned cold.", e.limiter.RetryAfter(now)))
		}
	}
}

// noteReturn assumes a cold backend server when the VM comes back into service: it
// idled, and whoever took the VM out did so to work on it. The whole load comes back
// within seconds.
func (e *executor) noteReturn(refusing api.ResultCode) {
	out := refusing == api.ResultCode_OUT_OF_SERVICE
	if e.wasOut && refusing == api.ResultCode_OK {
		e.limiter.AssumeCold()
	}
	e.wasOut = out || e.wasOut && refusing != api.ResultCode_OK
}

func (e *executor) refuseWaiting(id uint64, refused *api.Refusal) {
	j := e.waiting[id]
	delete(e.waiting, id)
	e.counts.refused.Inc(1)
	e.abandon(j.work)
	j.slot <- refused
}

// housekeeping lets go of old answers and of work that nobody waits for.
func (e *executor) housekeeping(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers.Expire(now)
	for id, j := range e.jobs {
		if _, held := e.answers.Lookup(id); !held {
			e.forget(j.work)
			delete(e.jobs, id)
			continue
		}
		if j.readers == 0 && j.repeatable() && j.cancel != nil && now-j.alone > orphanGrace {
			j.cancel()
		}
	}
}

// idle says that nothing runs, waits or is still to be delivered, and that nobody comes
// back. An answer whose link broke has no reader for a moment: its entry comes back for it
// over another link, and the process must not be gone by then. Nor for a caller that was
// told "not run" under its ticket and comes back with it: nobody else can say that the
// ticket is void, and the caller would hear "unknown".
func (e *executor) idle(now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running > 0 || e.queue.Len() > 0 {
		return false
	}
	if e.told > 0 && now-e.told < returnGrace {
		return false
	}
	for _, j := range e.jobs {
		// Nobody comes back for work that was given up because its caller had gone. Of
		// work with a ticket that was refused before it ran the ledger knows all there is.
		refused := j.buffer.Refusal()
		givenUp := refused != nil && (j.repeatable() || refused.GetRan() == api.Ran_RAN_NO)
		if !j.buffer.IsDelivered() && (j.readers > 0 || !givenUp && now-j.alone < orphanGrace) {
			return false
		}
	}
	return true
}

// requestHash is what tells one request from another under the same ticket.
func requestHash(work *api.Work) [32]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00", work.GetService(), work.GetMethod(), work.GetPath())
	h.Write(work.GetBody())
	return [32]byte(h.Sum(nil))
}
