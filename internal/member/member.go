// Package member makes a process a member of the system: it follows the log, links the process to
// others, passes on what it learns, and determines whether the process may still trust the
// configuration that it holds.
//
// One goroutine owns all control state; other goroutines send it functions over a channel. Requests
// read an immutable State that this goroutine publishes.
package member

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/coord/fresh"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/platform"
	"github.com/apricothub/apricothub/internal/result"
)

// Options configures a member.
type Options struct {
	Self     *api.Hello
	Platform *platform.Client
	Links    *api.Links
	// LogPollInterval is the time between reads of the log, VMsPollInterval the time between reads
	// of the list of VMs, which is large and changes rarely.
	LogPollInterval, VMsPollInterval time.Duration
	// LogReaders is the number of entries in each failure domain that read the log continuously; 0
	// for all processes.
	LogReaders int
	// SnapshotRecords is the number of records, and SnapshotMaxAge the time, after which a snapshot
	// of the fold is appended to the log; 0 for a member that leaves this to others.
	SnapshotRecords int64
	SnapshotMaxAge  time.Duration
	Logger          log.Logger
	// Registry receives the metrics of the member; nil for none.
	Registry metrics.Registry
	// ShouldDial reports whether this process opens the link to a VM. The other side of the pair
	// must return the opposite.
	ShouldDial func(vm platform.VM) bool
	Hooks      Hooks
}

// Hooks are called by the member. All but HandleStream and SelectReporters run on the control
// goroutine and must not block.
type Hooks struct {
	// Tick is called once each heartbeat interval.
	Tick func(now time.Duration)
	// IsSynced reports whether everything needed from the peers linked so far has arrived, so that
	// this process can be announced to others; nil for always.
	IsSynced func() bool
	// PeersChanged is called when links or the states of peers have changed.
	PeersChanged func(state *State)
	// HandleMessage handles the control messages that the member does not handle itself.
	HandleMessage func(peer *Peer, m *api.Control)
	// ConfigChanged is called when the configuration has changed.
	ConfigChanged func(view *config.View)
	// SelectReporters returns the entry that reports for each agent, both by VM, from a list of VMs
	// alone. It may take long and is called on a goroutine of its own. It is nil, or returns nil,
	// where entries link to all agents.
	SelectReporters func(vms []platform.VM) map[string]string
	// RequestLink requests a link to an agent for a limited time, even if Options.ShouldDial does
	// not select it.
	RequestLink func(vm string)
	// HandleStream handles a stream opened by a peer, on a goroutine of its own.
	HandleStream func(s *link.Session, open *api.Open, stream *link.Stream)
}

// Peer is another process that is linked to this one. It is immutable.
type Peer struct {
	Hello   *api.Hello
	Session *link.Session
	// Draining is set if the peer is stopping or its VM is leaving; it gets no new work.
	Draining bool
	// Ready is set if the peer serves requests, as of its last heartbeat.
	Ready bool
}

// Usable reports whether the peer may get new work.
func (p *Peer) Usable() bool { return !p.Draining && !p.Session.Suspect() }

// State is the state that requests read. It is immutable.
type State struct {
	View *config.View
	// Mode is how far the configuration may be trusted. It is valid until ServeUntil on the
	// process's clock.
	Mode       fresh.State
	ServeUntil time.Duration
	// Peers holds the linked peers by VM.
	Peers map[string]*Peer
	// VMs is the platform's list as last read. It may be out of date.
	VMs []platform.VM
	// Draining is set if this process is stopping.
	Draining bool
	// Linked is set once every VM that this process dials has been linked or could not be reached.
	// Before that, a VM without a link may still be live.
	Linked bool
	// OutOfService is set if operators have taken this VM or its failure domain out of service, or
	// if it is leaving according to the platform's list.
	OutOfService bool
}

// RefusalCode returns why a process in this state accepts no new work; OK if it does.
//
// The time is compared when the state is used: a process that was paused finds its evidence stale
// when it resumes, before its control goroutine has run.
func (s *State) RefusalCode(now time.Duration) api.ResultCode {
	switch {
	case s.Mode == fresh.Starting:
		return api.ResultCode_STARTING
	case s.Mode == fresh.Isolated, now > s.ServeUntil:
		return api.ResultCode_ISOLATED
	case s.Draining:
		return api.ResultCode_DRAINING
	}
	return api.ResultCode_OK
}

// UnreadyCode returns why no new work should be sent to a process in this state; OK if it is ready.
// A process whose first links are not established yet knows no backend servers, and would refuse
// requests that another entry can place.
func (s *State) UnreadyCode(now time.Duration) api.ResultCode {
	if code := s.RefusalCode(now); code != api.ResultCode_OK {
		return code
	}
	if !s.Linked {
		return api.ResultCode_STARTING
	}
	return api.ResultCode_OK
}

// Node is a member. Create it with New and run it with Run.
type Node struct {
	options Options
	link    link.Config
	logger  log.Logger
	state   atomic.Pointer[State]
	calls   chan func()
	done    chan struct{}
	// lastWrongKeyLog is when a connection without the link key was last logged.
	lastWrongKeyLog atomic.Int64

	// The following fields are owned by the control goroutine.
	fold           *config.Fold
	fresh          *fresh.Tracker
	reader         *config.Reader
	peers          map[*link.Session]*peer
	byVM           map[string]*peer
	vms            []platform.VM
	nextDial       map[string]time.Duration
	failedDials    map[string]bool // VMs that could not be reached while linked is unset
	wrongKey       map[string]bool // VMs that do not hold the link key
	draining       bool
	lastFetch      time.Duration
	snapshots      snapshotState
	trackedChanges map[string]*trackedChange // by change id
	reporters      *config.Reporters         // nil where entries link to all agents
	removedVMs     map[string]bool           // VMs that left the list
	leavingVMs     map[string]bool           // VMs that are leaving according to the list
	linked         bool
	// logFailingSince is when the log stopped answering; 0 while it answers.
	logFailingSince time.Duration
	lastCountsSent  time.Duration
	readsLog        bool // this process reads the log continuously
}

// New returns a member that is not running yet.
func New(o Options) *Node {
	freshness := millis(o.Links.GetFreshnessMs())
	n := &Node{
		options: o,
		logger:  o.Logger,
		link: link.Config{
			Self:              o.Self,
			Key:               []byte(o.Links.GetKey()),
			OtherKey:          []byte(o.Links.GetOtherKey()),
			HeartbeatInterval: millis(o.Links.GetHeartbeatMs()),
			SuspectAfter:      millis(o.Links.GetSuspectMs()),
			DeadAfter:         millis(o.Links.GetDeadMs()),
			IdleInterval:      idleHeartbeatInterval(o.Links),
			HeartbeatSender:   link.NewHeartbeatSender(),
		},
		calls:          make(chan func(), 1024),
		done:           make(chan struct{}),
		fold:           config.NewFold(),
		fresh:          fresh.New(o.Self.GetVm(), freshness),
		peers:          make(map[*link.Session]*peer),
		byVM:           make(map[string]*peer),
		nextDial:       make(map[string]time.Duration),
		failedDials:    make(map[string]bool),
		trackedChanges: make(map[string]*trackedChange),
		readsLog:       o.LogReaders == 0,
		removedVMs:     make(map[string]bool),
		wrongKey:       make(map[string]bool),
	}
	n.link.OnWrongKey = n.logWrongKeyConn
	if o.Registry != nil {
		n.link = n.link.WithCounters(o.Registry)
	}
	n.reader = config.NewReader(n.fold)
	n.snapshots.lastOffset = -1
	n.publish()
	return n
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Run serves the links of the member on a listener until the context ends.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	group.Add(func() error { return n.loop(ctx) }, func(error) { cancel() })
	group.Add(func() error { return link.Serve(ln, n.link, handler{n}) }, func(error) { _ = ln.Close() })
	group.Add(func() error { return n.followLog(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.followVMs(ctx) }, func(error) { cancel() })
	return group.Run()
}

// State returns the newest published state.
func (n *Node) State() *State { return n.state.Load() }

// Do runs a function on the control goroutine and waits for it. It returns false if the member has
// stopped.
func (n *Node) Do(f func()) bool {
	ran := make(chan struct{})
	if !n.post(func() { f(); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-n.done:
		return false
	}
}

// post queues a function for the control goroutine. It returns false if the member has stopped.
func (n *Node) post(f func()) bool {
	select {
	case n.calls <- f:
		return true
	case <-n.done:
		return false
	}
}

// SetDraining tells all peers that this process is stopping.
func (n *Node) SetDraining() {
	n.Do(func() {
		n.draining = true
		n.publish()
	})
}

func (n *Node) loop(ctx context.Context) error {
	defer close(n.done)
	ticker := time.NewTicker(n.link.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case f := <-n.calls:
			f()
		case <-ticker.C:
			n.tick()
		case <-ctx.Done():
			n.closeLinks(ctx.Err())
			return ctx.Err()
		}
	}
}

func (n *Node) tick() {
	now := clock.Now()
	n.dialMissing(now)
	n.updateLinked()
	n.sendCounts(now)
	n.publish()
	n.snapshotIfDue(now)
	if n.options.Hooks.Tick != nil {
		n.options.Hooks.Tick(now)
	}
}

// publish updates the State that requests read.
func (n *Node) publish() {
	now := clock.Now()
	old := n.state.Load()
	view := n.fold.View()
	self := n.options.Self
	state := &State{
		View:         view,
		Mode:         n.fresh.State(now),
		ServeUntil:   n.fresh.ServesUntil(now),
		Peers:        n.publishedPeers(old),
		VMs:          n.vms,
		Draining:     n.draining,
		Linked:       n.linked,
		OutOfService: view.VMOutOfService(self.GetVm(), self.GetFailureDomain()) || n.leavingVMs[self.GetVm()],
	}
	n.state.Store(state)
	n.logMode(old, state)
	// In an outage of the log, evidence comes from peers alone, and reaches processes with few peers
	// over several links. At the idle interval, the delays of these links would add up to more than
	// the freshness limit.
	if n.fresh.NeedsCounts(now) || old != nil && state.changesHeartbeats(old) {
		n.link.HeartbeatSender.SendAllAtNextTick()
	}
	if n.options.Hooks.ConfigChanged != nil && (old == nil || old.View != view) {
		n.options.Hooks.ConfigChanged(view)
	}
}

func (n *Node) logMode(old, state *State) {
	if old != nil && old.Mode != state.Mode {
		_ = n.logger.Log("msg", "The freshness mode has changed.", "result", result.Label(state.RefusalCode(clock.Now())), "mode", state.Mode, "applied", state.View.Applied())
	}
}
