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
	// defaultRetryAfter is the retry time in refusals that do not depend on load.
	defaultRetryAfter = time.Second
	// ticketRetryGrace is how long a draining agent waits for the retry of a refused ticket: the
	// time that the caller was told to wait, and as much again for the network and a busy machine.
	ticketRetryGrace = 2 * defaultRetryAfter
	// orphanGrace is how long work without a ticket goes on when nobody reads its answer. A caller
	// whose entry died retries through another within this time; after it, the engine's slots are
	// of more use to others.
	orphanGrace = 10 * time.Second
	// ticketGrace is how long work with a ticket may go on after the caller's deadline: its answer
	// is kept for a caller that asks how it ended.
	ticketGrace = 60 * time.Second
)

// executor runs the work of one backend server. The goroutines of all streams share it under one
// lock, which is never held during I/O.
type executor struct {
	vm, incarnation string
	settings        *api.Backend
	backend         *backend
	// refusing returns why the agent accepts no work, or OK.
	refusing func(now time.Duration) api.ResultCode
	logger   log.Logger
	counters *counters
	journal  *journal.Journal

	mu              sync.Mutex
	ledger          *ticket.Ledger
	answers         *answer.Store
	jobs            map[string]*job // by answer ID
	limiter         *cold.Limiter
	inherited       inheritedBaseline
	queue           *queue.Queue
	queued          map[uint64]*job // by queue ID
	lastID          uint64
	running         int
	pollPacer       *pollPacer
	runningKnown    bool // the backend server has reported which requests it still runs
	wasOutOfService bool // the VM was out of service and has not returned since
	// ticketRefusedAt is when a request with a ticket was last refused as "not run"; 0 for never.
	ticketRefusedAt time.Duration
	prefixes        recentPrefixes
	silence         silence
	// lastFirstToken is when the first token of any stream last arrived; 0 for never.
	lastFirstToken time.Duration
	model          modelState
	// loading is set while model has an order. Everything that decides on work reads it through
	// refusing, which runs without the lock.
	loading atomic.Bool
}

func newExecutor(self *api.Hello, settings *api.Backend, logger log.Logger, counters *counters) *executor {
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		panic(fmt.Sprintf("read random bytes for the ticket key: %v", err))
	}
	limits := ticket.Limits{
		BlockSize: ticketBlockSize,
		Lifetime:  time.Duration(settings.GetTicketLifetimeMs()) * time.Millisecond,
		MaxBlocks: ticketMaxBlocks,
	}
	keepTime := time.Duration(settings.GetAnswerKeepMs()) * time.Millisecond
	limiterConfig := cold.Config{
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
		counters:    counters,
		journal:     journal.New(journalSize),
		ledger:      ticket.NewLedger(self.GetVm(), self.GetIncarnation(), key, limits),
		answers:     answer.NewStore(settings.GetAnswerBytes(), keepTime),
		jobs:        make(map[string]*job),
		limiter:     cold.New(limiterConfig, clock.Now()),
		pollPacer:   newPollPacer(clock.Now()),
		queue:       queue.New(int(settings.GetQueue())),
		queued:      make(map[uint64]*job),
		model:       newModelState(settings),
	}
}

// refuseByState makes the executor refuse work according to the member's state.
func (e *executor) refuseByState(node *member.Node) {
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

// accept decides on arriving work. It returns the job whose answer is to be delivered, which is
// new or already exists, or a refusal.
func (e *executor) accept(work *api.Work) (*job, *api.Refusal) {
	now := clock.Now()
	refusing := e.refusing(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trackOutOfService(refusing)
	if refused := e.checkService(work); refused != nil {
		return nil, refused
	}
	if !e.runningKnown && refusing == api.ResultCode_OK {
		refusing = api.ResultCode_STARTING
	}
	e.lastID++
	id := fmt.Sprintf("%s:%s:%d", e.vm, e.incarnation, e.lastID)
	if t := work.GetTicket(); t != nil {
		if j, refusal, settled := e.acceptTicket(now, work, id, refusing); settled {
			return j, refusal
		}
	} else if refusing != api.ResultCode_OK {
		return nil, notRunRefusal(refusing, "The agent takes no new work.", defaultRetryAfter)
	}
	return e.startJob(now, work, id)
}

// checkService refuses work for another service or model. A ticket alone decides which agent its
// request goes to, whatever the request asks for. Without this check the backend server would get
// a call that is not for it, perhaps one that the plan does not include. The ticket is not changed
// and stays valid for its own service; no other service can run it.
func (e *executor) checkService(work *api.Work) *api.Refusal {
	isOwn := work.GetModel() == e.settings.GetModel()
	if work.GetKind() == api.WorkKind_WORK_CALL || e.settings.GetService() != "" {
		isOwn = work.GetKind() == api.WorkKind_WORK_CALL && work.GetService() == e.settings.GetService()
	}
	switch {
	case isOwn:
		return nil
	case work.GetTicket() != nil:
		return notRunRefusal(api.ResultCode_TICKET_FOREIGN, "The ticket belongs to another service or model.", 0)
	}
	return notRunRefusal(api.ResultCode_NO_BACKEND, "The backend server serves something else.", defaultRetryAfter)
}

// acceptTicket lets the ledger decide. The last result is false when the work is to be run now.
func (e *executor) acceptTicket(now time.Duration, work *api.Work, id string, refusing api.ResultCode) (*job, *api.Refusal, bool) {
	var decision ticket.Decision
	if refusing == api.ResultCode_OK {
		decision = e.ledger.Begin(now, work.GetTicket(), work.GetCustomer(), requestHash(work), id)
	} else {
		// The ticket is voided before "not run" is answered: a copy of the request may still be in
		// a stalled link.
		decision = e.ledger.Void(now, work.GetTicket(), work.GetCustomer(), requestHash(work), refusing)
		if decision.Code == refusing {
			e.ticketRefusedAt = now
		}
	}
	switch decision.Action {
	case ticket.Run:
		return nil, nil, false
	case ticket.Join:
		if j, ok := e.jobs[decision.AnswerID]; ok {
			return j, nil, true
		}
		// The answer was discarded to free memory. The ledger knows whether the request ran; that
		// it was started is no proof.
		e.ledger.ForgetAnswer(work.GetTicket())
		decision = e.ledger.Begin(now, work.GetTicket(), work.GetCustomer(), requestHash(work), id)
	}
	return nil, newRefusal(decision.Code, decision.Ran, decision.Text, defaultRetryAfter), true
}

// startJob creates the job and starts it on a goroutine of its own, so that the work goes on when
// the link it came over breaks.
func (e *executor) startJob(now time.Duration, work *api.Work, id string) (*job, *api.Refusal) {
	buffer, err := e.answers.Add(id, work.GetCustomer())
	if err != nil {
		e.voidTicket(work)
		return nil, notRunRefusal(api.ResultCode_SATURATED, "The agent's memory for answers is full.", defaultRetryAfter)
	}
	j := &job{
		work:        work,
		buffer:      buffer,
		arrived:     now,
		deadline:    now + time.Duration(work.GetDeadlineMs())*time.Millisecond,
		changed:     make(chan struct{}),
		admission:   make(chan *api.Refusal, 1),
		unreadSince: now,
	}
	if refused := e.enqueue(now, j); refused != nil {
		// If the refusals of a full agent were kept like other answers, they would fill the
		// memory.
		e.answers.Drop(buffer)
		return nil, refused
	}
	e.jobs[id] = j
	go e.runJob(j)
	return j, nil
}

// enqueue gives the job a slot at the backend server or a place in the queue, or refuses it at
// once.
func (e *executor) enqueue(now time.Duration, j *job) *api.Refusal {
	if e.queue.Len() == 0 && e.limiter.TryStart(now) {
		e.running++
		e.pollPacer.workStarted(now)
		j.admission <- nil
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
	// While the backend server is cold and its work time is unknown, the wait in its queue may
	// exceed any deadline. The work is refused at once, since another server may be warm. Work
	// with a ticket cannot go to another server.
	unknownWorkTime := j.isRepeatable() && item.WorkTime == 0 && e.limiter.IsCold()
	if !unknownWorkTime && e.pushOrDisplace(now, item, j) {
		return nil
	}
	code := api.ResultCode_SATURATED
	if e.limiter.IsCold() {
		code = api.ResultCode_COLD
	}
	e.counters.refused.Inc(1)
	e.voidTicket(j.work)
	return notRunRefusal(code, "The backend server is full.", e.limiter.RetryAfter(now))
}

// pushOrDisplace adds a job to the queue. If the queue is full, the job furthest above its share
// is displaced, which may be the new one.
func (e *executor) pushOrDisplace(now time.Duration, item queue.Item, j *job) bool {
	if e.queue.Push(now, item) {
		e.queued[item.ID] = j
		return true
	}
	displaced, ok := e.queue.Displace(now, item)
	if !ok || displaced.ID == item.ID {
		return false
	}
	e.queued[item.ID] = j
	e.refuseQueued(displaced.ID, notRunRefusal(api.ResultCode_OVER_SHARE, "Others of the backend server's callers are within their share.", e.limiter.RetryAfter(now)))
	return true
}

// voidTicket voids the ticket of work that was accepted and has not been sent.
func (e *executor) voidTicket(work *api.Work) {
	if t := work.GetTicket(); t != nil {
		e.ledger.Abandon(t)
		e.ticketRefusedAt = clock.Now()
	}
}

// recordOutcome tells the ledger how work with a ticket ended.
func (e *executor) recordOutcome(work *api.Work, ran api.Ran) {
	if t := work.GetTicket(); t != nil {
		e.ledger.RecordOutcome(t, ran)
	}
}

// forgetAnswer tells the ledger that the answer is no longer held.
func (e *executor) forgetAnswer(work *api.Work) {
	if t := work.GetTicket(); t != nil {
		e.ledger.ForgetAnswer(t)
	}
}

// dispatch starts queued jobs while slots are free, and refuses those that cannot end before their
// deadline. While the agent may accept no work, all queued jobs are refused: they have not run,
// and the entries place them elsewhere.
func (e *executor) dispatch(now time.Duration) {
	refusing := e.refusing(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.Tick(now)
	e.trackOutOfService(refusing)
	for _, item := range e.queue.RemoveExpired(now) {
		e.refuseQueued(item.ID, notRunRefusal(api.ResultCode_DEADLINE_UNREACHABLE, "The work could not end before its deadline.", e.limiter.RetryAfter(now)))
	}
	for e.queue.Len() > 0 && refusing != api.ResultCode_OK {
		item, _ := e.queue.Pop()
		e.refuseQueued(item.ID, notRunRefusal(refusing, "The agent takes no new work.", defaultRetryAfter))
	}
	if e.limiter.IsFarOverLimit() {
		e.refuseRepeatable(now)
	}
	for e.queue.Len() > 0 && e.limiter.TryStart(now) {
		item, _ := e.queue.Pop()
		j := e.queued[item.ID]
		delete(e.queued, item.ID)
		e.running++
		e.pollPacer.workStarted(now)
		j.admission <- nil
	}
}

// refuseRepeatable refuses the queued work that may run elsewhere. Work with a ticket cannot go to
// another backend server and stays in the queue.
func (e *executor) refuseRepeatable(now time.Duration) {
	for id, j := range e.queued {
		if j.isRepeatable() {
			e.queue.Remove(id)
			e.refuseQueued(id, notRunRefusal(api.ResultCode_COLD, "The backend server has turned cold.", e.limiter.RetryAfter(now)))
		}
	}
}

// trackOutOfService assumes a cold backend server when its VM returns to service: the server was
// idle, and the VM was probably taken out to work on it. The whole load returns within seconds.
func (e *executor) trackOutOfService(refusing api.ResultCode) {
	isOut := refusing == api.ResultCode_OUT_OF_SERVICE
	if e.wasOutOfService && refusing == api.ResultCode_OK {
		e.limiter.AssumeCold()
	}
	e.wasOutOfService = isOut || e.wasOutOfService && refusing != api.ResultCode_OK
}

func (e *executor) refuseQueued(id uint64, refused *api.Refusal) {
	j := e.queued[id]
	delete(e.queued, id)
	e.counters.refused.Inc(1)
	e.voidTicket(j.work)
	j.admission <- refused
}

// housekeeping drops expired answers and cancels work that nobody waits for.
func (e *executor) housekeeping(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers.Expire(now)
	for id, j := range e.jobs {
		if _, held := e.answers.Lookup(id); !held {
			e.forgetAnswer(j.work)
			delete(e.jobs, id)
			continue
		}
		if j.readers == 0 && j.isRepeatable() && j.cancel != nil && now-j.unreadSince > orphanGrace {
			j.cancel()
		}
	}
}

// isIdle reports whether nothing is running, queued or still to be delivered, and no caller is
// expected to return. An answer whose link broke has no reader for a moment: its entry asks for it
// over another link, and the process must still be there. The same holds for a caller whose
// request with a ticket was refused as "not run" and that retries with the same ticket: only this
// agent can say that the ticket is void, and otherwise the caller would be told "unknown".
func (e *executor) isIdle(now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running > 0 || e.queue.Len() > 0 {
		return false
	}
	if e.ticketRefusedAt > 0 && now-e.ticketRefusedAt < ticketRetryGrace {
		return false
	}
	for _, j := range e.jobs {
		// Nobody returns for work that was canceled because its caller had gone. For work with a
		// ticket that was refused before it ran, the ledger knows everything needed.
		refusal := j.buffer.Refusal()
		givenUp := refusal != nil && (j.isRepeatable() || refusal.GetRan() == api.Ran_RAN_NO)
		if !j.buffer.IsDelivered() && (j.readers > 0 || !givenUp && now-j.unreadSince < orphanGrace) {
			return false
		}
	}
	return true
}

// requestHash distinguishes requests that use the same ticket.
func requestHash(work *api.Work) [32]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00", work.GetService(), work.GetMethod(), work.GetPath())
	h.Write(work.GetBody())
	return [32]byte(h.Sum(nil))
}
