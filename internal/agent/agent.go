// Package agent implements the process in front of each backend server. All work for the backend
// server passes through it. Limits kept here are therefore exact, whatever the entries assume, and
// only the agent can say what has run.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/httpguard"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/platform"
	"github.com/apricothub/apricothub/internal/resources"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/sockets"
	"github.com/apricothub/apricothub/internal/version"
)

const (
	// ticketBlockSize is the number of tickets in a block: an entry that issues a hundred a second
	// requests a block every ten seconds.
	ticketBlockSize = 1024
	// ticketMaxBlocks limits the memory for used tickets to 4 MB, at two bits per ticket. 490
	// entries request about 1,310 blocks within a ticket's lifetime even when idle.
	ticketMaxBlocks = 16384
	// housekeepingInterval is the time between removals of expired answers and abandoned work.
	housekeepingInterval = time.Second
)

// counters holds the agent's metrics.
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

// agent connects the executor to the member.
type agent struct {
	settings *api.AgentSettings
	self     *api.Hello
	node     *member.Node
	executor *executor
	group    *group // nil outside expert-parallel groups
	registry metrics.Registry
	logger   log.Logger

	// Owned by the member's control goroutine.
	reportSeq        uint64
	lastHousekeeping time.Duration
	// lastReport is the newest report, without its sequence number; nil forces a new one.
	lastReport   *api.BackendStatus
	lastReportAt time.Duration

	// spareLinks holds the links that entries do not use for new work.
	spareLinks map[*link.Session]bool

	groupStatus atomic.Pointer[api.GroupStatus]
}

// linksMemory is the part of the VM's memory, linksSockets the part of the process's sockets that links from other
// processes may take. The rest of the sockets is for the backend server, the platform and the admin address.
const (
	linksMemory  = 1.0 / 4
	linksSockets = 5.0 / 8
)

// Run serves as an agent until the context ends. Then it drains: it accepts no new work, waits for
// the work in flight and returns.
func Run(ctx context.Context, settings *api.AgentSettings, logger log.Logger) error {
	a := newAgent(settings, logger)
	listenConfig := sockets.NewListenConfig()
	ln, err := listenConfig.Listen(ctx, "tcp", settings.GetListen().GetLink())
	if err != nil {
		return errors.Wrap(err, "listen for links")
	}
	available := resources.Of(0, 0)
	links := httpguard.New(httpguard.Options{
		Name: "links", Connections: available.Descriptors(linksSockets), Bytes: available.Memory(linksMemory), Logger: logger, Registry: a.registry,
	})
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var group run.Group
	group.Add(func() error { return a.node.Run(workCtx, links.Listener(ln)) }, func(error) { stop() })
	group.Add(func() error { return a.executor.pollEngine(workCtx) }, func(error) { stop() })
	group.Add(func() error { return a.executor.runOrders(workCtx) }, func(error) { stop() })
	group.Add(func() error { return a.serveAdmin(workCtx) }, func(error) { stop() })
	if a.group != nil {
		group.Add(func() error { return a.group.run(workCtx) }, func(error) { stop() })
	}
	group.Add(func() error { return a.drain(ctx, workCtx) }, func(error) { stop() })
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
		settings:   settings,
		self:       self,
		registry:   registry,
		logger:     logger,
		spareLinks: make(map[*link.Session]bool),
		executor:   newExecutor(self, settings.GetBackend(), logger, newCounters(registry)),
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
		ShouldDial:      func(vm platform.VM) bool { return a.group != nil && a.group.shouldDial(vm) },
		Hooks: member.Hooks{
			Tick:          a.tick,
			PeersChanged:  a.peersChanged,
			HandleMessage: a.handleMessage,
			HandleStream:  a.executor.serveStream,
		},
	})
	a.executor.refuseByState(a.node)
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

// tick dispatches queued work, does the housekeeping and reports to the entries.
func (a *agent) tick(now time.Duration) {
	a.executor.dispatch(now)
	if now-a.lastHousekeeping > housekeepingInterval {
		a.lastHousekeeping = now
		a.executor.housekeeping(now)
	}
	a.report(now)
}

// reportInterval is the longest time between two reports with the same content.
const reportInterval = time.Second

// report sends the state of the backend server to the entries when it has changed, when a link is
// new, and at least once per reportInterval. It is sent with the next heartbeat unless it is
// urgent.
func (a *agent) report(now time.Duration) {
	status := a.executor.status(now)
	status.Group = a.settings.GetGroup().GetName()
	status.GroupStatus = a.groupStatus.Load()
	status.Entries = a.countEntries(a.node.State())
	if a.lastReport != nil && now-a.lastReportAt < reportInterval && proto.Equal(status, a.lastReport) {
		return
	}
	urgent := a.lastReport == nil || isUrgent(status, a.lastReport)
	a.lastReport = proto.CloneOf(status)
	a.lastReportAt = now
	a.reportSeq++
	status.Seq = a.reportSeq
	for _, peer := range a.node.State().Peers {
		if peer.Hello.GetRole() == api.Role_ROLE_ENTRY {
			sendReport(peer.Session, &api.Control{Body: &api.Control_Status{Status: status}}, urgent)
		}
	}
}

// handleMessage handles a message that a peer sent on the control stream.
func (a *agent) handleMessage(peer *member.Peer, m *api.Control) {
	if m.GetGroup() != nil && a.group != nil {
		a.group.handleMessage(m.GetGroup())
		return
	}
	if order := m.GetRollout(); order != nil {
		a.executor.acceptOrder(order, a.node.State().View.ListOffset(api.ListName_LIST_USES))
		return
	}
	if use := m.GetUse(); use != nil {
		a.spareLinks[peer.Session] = use.GetSpare()
		return
	}
	if baseline := m.GetUsual(); baseline != nil {
		a.executor.inherit(baseline)
		return
	}
	if m.GetBlockRequest() == nil {
		return
	}
	block := a.executor.grantTickets(clock.Now())
	if block == nil {
		_ = a.logger.Log("msg", "A request for a block of tickets was refused; the memory for used tickets is full.", "result", result.Label(api.ResultCode_SATURATED), "vm", peer.Hello.GetVm())
		return
	}
	peer.Session.Post(&api.Control{Body: &api.Control_Block{Block: block}})
}

// drain waits for the context to end and then for the last piece of work.
func (a *agent) drain(ctx, workCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
		return workCtx.Err()
	}
	a.node.SetDraining()
	_ = a.logger.Log("msg", "The agent is stopping and accepts no new work.")
	links := a.settings.GetLink()
	// Work sent before the entries learned of the stop may still arrive. It must be answered "not
	// run" instead of being cut off.
	sleep(workCtx, time.Duration(2*links.GetHeartbeatMs()+links.GetSuspectMs())*time.Millisecond)
	deadline := clock.Now() + time.Duration(a.settings.GetBackend().GetDrainMs())*time.Millisecond
	for !a.executor.isIdle(clock.Now()) && clock.Now() < deadline {
		sleep(workCtx, 20*time.Millisecond)
	}
	_ = a.logger.Log("msg", "The agent has stopped.", "idle", a.executor.isIdle(clock.Now()))
	return context.Canceled
}

// grantTickets grants an entry a block of tickets.
func (e *executor) grantTickets(now time.Duration) *api.TicketBlock {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Grant(now)
}

// status returns the report that entries use to place work.
func (e *executor) status(now time.Duration) *api.BackendStatus {
	refusing := e.refusing(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.runningKnown && refusing == api.ResultCode_OK {
		refusing = api.ResultCode_STARTING
	}
	if refusing == api.ResultCode_OK && e.limiter.IsBackingOff(now) {
		refusing = api.ResultCode_COLD
	}
	return &api.BackendStatus{
		Service:      e.settings.GetService(),
		Model:        e.settings.GetModel(),
		ModelVersion: e.model.version,
		Adapters:     e.model.adapters,
		Loading:      e.model.order != nil,
		OrderFence:   e.model.order.GetFence(),
		Fixed:        e.model.takesNoOrders,
		Refusing:     refusing,
		Limit:        int32(e.limiter.Limit()),
		Running:      int32(e.limiter.Running()),
		Queued:       int32(e.queue.Len()),
		FullLimit:    int32(e.settings.GetFullLimit()),
		Cold:         e.limiter.IsCold(),
		WorkUs:       e.limiter.WorkTime().Microseconds(),
		Prefixes:     e.prefixes.hashes,
		Silent:       e.silence.isSilent(now),
		Usual:        warmBaseline(e.limiter),
	}
}
