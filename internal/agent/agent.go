// Package agent is the process in front of each backend server. Every piece of work
// for the backend server passes through it, so that a limit kept here is exact
// whatever the entries believe, and only it can say what has run.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/platform"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/version"
)

const (
	// ticketBlockSize is the number of tickets in a block: an entry that sells a
	// hundred a second asks for a block every ten seconds.
	ticketBlockSize = 1024
	// ticketMaxBlocks bounds the memory for used tickets: two bits each, 4 MB in all.
	// 490 entries ask for some 1,310 blocks within a ticket's lifetime even when idle.
	ticketMaxBlocks = 16384
	// housekeepingEvery is the time between looks for old answers.
	housekeepingEvery = time.Second
)

// counters are the agent's metrics.
type counters struct {
	taken, refused, completed, failed metrics.Counter
}

func newCounters(registry metrics.Registry) *counters {
	return &counters{
		taken:     metrics.GetOrRegisterCounter("agent.work.taken", registry),
		refused:   metrics.GetOrRegisterCounter("agent.work.refused", registry),
		completed: metrics.GetOrRegisterCounter("agent.work.completed", registry),
		failed:    metrics.GetOrRegisterCounter("agent.work.failed", registry),
	}
}

// agent ties the executor to the member.
type agent struct {
	settings *api.AgentSettings
	self     *api.Hello
	node     *member.Node
	executor *executor
	group    *group // nil outside expert-parallel groups
	registry metrics.Registry
	logger   log.Logger

	// Owned by the member's control goroutine.
	status uint64
	keptAt time.Duration
	// reported is the newest report, without its number; nil to send one anew.
	reported   *api.BackendStatus
	reportedAt time.Duration

	// spare are the links that entries do not keep for new work.
	spare map[*link.Session]bool

	groupStatus atomic.Pointer[api.GroupStatus]
}

// Run serves as an agent until the context ends; then it stops in a planned way:
// it takes nothing new, lets all that runs come to its end and returns.
func Run(ctx context.Context, settings *api.AgentSettings, logger log.Logger) error {
	a := newAgent(settings, logger)
	ln, err := net.Listen("tcp", settings.GetListen().GetLink())
	if err != nil {
		return errors.Wrap(err, "listen for links")
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var group run.Group
	group.Add(func() error { return a.node.Run(work, ln) }, func(error) { stop() })
	group.Add(func() error { return a.executor.watch(work) }, func(error) { stop() })
	group.Add(func() error { return a.executor.carryOut(work) }, func(error) { stop() })
	group.Add(func() error { return a.serveAdmin(work) }, func(error) { stop() })
	if a.group != nil {
		group.Add(func() error { return a.group.run(work) }, func(error) { stop() })
	}
	group.Add(func() error { return a.drainAfter(ctx, work) }, func(error) { stop() })
	_ = logger.Log("msg", "The agent has started.", "incarnation", a.self.GetIncarnation())
	err = group.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func newAgent(settings *api.AgentSettings, logger log.Logger) *agent {
	self := &api.Hello{
		Vm:            settings.GetSelf().GetVm(),
		Role:          api.Role_ROLE_AGENT,
		FailureDomain: settings.GetSelf().GetFailureDomain(),
		Incarnation:   newIncarnation(),
		LinkAddress:   settings.GetListen().GetLink(),
		Version:       version.String(),
	}
	registry := metrics.NewRegistry()
	a := &agent{
		settings: settings,
		self:     self,
		registry: registry,
		logger:   logger,
		spare:    make(map[*link.Session]bool),
		executor: newExecutor(self, settings.GetBackend(), logger, newCounters(registry)),
	}
	p := settings.GetPlatform()
	timeout := time.Duration(p.GetRequestTimeoutMs()) * time.Millisecond
	a.node = member.New(member.Options{
		Self:            self,
		Platform:        platform.New(p.GetUrl(), timeout),
		Links:           settings.GetLink(),
		LogPollInterval: time.Duration(p.GetPollMs()) * time.Millisecond,
		VMsPollInterval: time.Duration(p.GetVmsPollMs()) * time.Millisecond,
		LogReaders:      int(p.GetLogReaders()),
		Logger:          logger,
		Registry:        registry,
		ShouldDial:      func(vm platform.VM) bool { return a.group != nil && a.group.dials(vm) },
		Hooks: member.Hooks{
			Tick:          a.tick,
			PeersChanged:  a.peersChanged,
			HandleMessage: a.message,
			HandleStream:  a.executor.serve,
		},
	})
	a.executor.follow(a.node)
	if settings.GetGroup().GetName() != "" {
		a.group = newGroup(a)
	}
	return a
}

// newIncarnation returns the random name of this run of the process.
func newIncarnation() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

// tick reports to the entries and looks after the executor.
func (a *agent) tick(now time.Duration) {
	a.executor.pump(now)
	if now-a.keptAt > housekeepingEvery {
		a.keptAt = now
		a.executor.housekeeping(now)
	}
	a.report(now)
}

// reportEvery is the longest time between two reports that say the same.
const reportEvery = time.Second

// report tells the entries of the backend server, when there is something new to tell,
// when a link is new, and once in a while. It goes with the next heartbeat, unless it is
// pressing.
func (a *agent) report(now time.Duration) {
	status := a.executor.status(now)
	status.Group = a.settings.GetGroup().GetName()
	status.GroupStatus = a.groupStatus.Load()
	status.Entries = a.entries(a.node.State())
	if a.reported != nil && now-a.reportedAt < reportEvery && proto.Equal(status, a.reported) {
		return
	}
	urgent := a.reported == nil || pressing(status, a.reported)
	a.reported = proto.CloneOf(status)
	a.reportedAt = now
	a.status++
	status.Seq = a.status
	for _, peer := range a.node.State().Peers {
		if peer.Hello.GetRole() == api.Role_ROLE_ENTRY {
			send(peer.Session, &api.Control{Body: &api.Control_Status{Status: status}}, urgent)
		}
	}
}

// message takes what entries ask on the control stream.
func (a *agent) message(peer *member.Peer, m *api.Control) {
	if m.GetGroup() != nil && a.group != nil {
		a.group.message(m.GetGroup())
		return
	}
	if order := m.GetRollout(); order != nil {
		a.executor.takeOrder(order, a.node.State().View.ListOffset(api.ListName_LIST_USES))
		return
	}
	if use := m.GetUse(); use != nil {
		a.spare[peer.Session] = use.GetSpare()
		return
	}
	if usual := m.GetUsual(); usual != nil {
		a.executor.inherit(usual)
		return
	}
	if m.GetBlockRequest() == nil {
		return
	}
	block := a.executor.grant(clock.Now())
	if block == nil {
		_ = a.logger.Log("msg", "No block of tickets can be granted; the memory for them is full.", "result", result.Label(api.ResultCode_SATURATED), "vm", peer.Hello.GetVm())
		return
	}
	peer.Session.Post(&api.Control{Body: &api.Control_Block{Block: block}})
}

// drainAfter waits for the planned stop and then for the last piece of work.
func (a *agent) drainAfter(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return work.Err()
	}
	a.node.SetDraining()
	_ = a.logger.Log("msg", "The agent is stopping. It takes nothing new.")
	links := a.settings.GetLink()
	// Work sent before the entries heard of the stop is still on its way; it must
	// be told "not run", not cut.
	wait(work, time.Duration(2*links.GetHeartbeatMs()+links.GetSuspectMs())*time.Millisecond)
	limit := clock.Now() + time.Duration(a.settings.GetBackend().GetDrainMs())*time.Millisecond
	for !a.executor.idle(clock.Now()) && clock.Now() < limit {
		wait(work, 20*time.Millisecond)
	}
	_ = a.logger.Log("msg", "The agent has stopped.", "idle", a.executor.idle(clock.Now()))
	return context.Canceled
}

// grant gives an entry a block of tickets.
func (e *executor) grant(now time.Duration) *api.TicketBlock {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Grant(now)
}

// status is what entries place by.
func (e *executor) status(now time.Duration) *api.BackendStatus {
	refusing := e.refusing(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.asked && refusing == api.ResultCode_OK {
		refusing = api.ResultCode_STARTING
	}
	if refusing == api.ResultCode_OK && e.limiter.IsBackingOff(now) {
		refusing = api.ResultCode_COLD
	}
	return &api.BackendStatus{
		Service:      e.settings.GetService(),
		Model:        e.settings.GetModel(),
		ModelVersion: e.loads.version,
		Adapters:     e.loads.adapters,
		Loading:      e.loads.order != nil,
		OrderFence:   e.loads.order.GetFence(),
		Fixed:        e.loads.fixed,
		Refusing:     refusing,
		Limit:        int32(e.limiter.Limit()),
		Running:      int32(e.limiter.Running()),
		Queued:       int32(e.queue.Len()),
		FullLimit:    int32(e.settings.GetFullLimit()),
		Cold:         e.limiter.IsCold(),
		WorkUs:       e.limiter.WorkTime().Microseconds(),
		Prefixes:     e.prefixes.hashes,
		Silent:       e.silence.long(now),
		Usual:        usual(e.limiter),
	}
}
