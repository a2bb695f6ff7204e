// Package member makes a process a member of the system: it follows the log, links
// the process to others, passes on what it learns and judges whether the process
// may still trust what it holds.
//
// One goroutine owns all control state; everything reaches it as a function on one
// channel. Traffic reads an immutable State that this goroutine publishes.
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

// Options says what kind of member the process is.
type Options struct {
	Self     *api.Hello
	Platform *platform.Client
	Links    *api.Links
	// LogPollInterval is the time between looks at the log, VMsPollInterval that between looks at the
	// list of VMs, which is large and changes little.
	LogPollInterval, VMsPollInterval time.Duration
	// LogReaders is how many entries of each failure domain look at the log all the
	// time; 0 for all processes.
	LogReaders int
	// SnapshotRecords is the number of records, and SnapshotAge the time, after which
	// the fold is appended again; 0 for a member that leaves that to others.
	SnapshotRecords int64
	SnapshotMaxAge  time.Duration
	Logger          log.Logger
	// Registry takes the member's metrics; nil for none.
	Registry metrics.Registry
	// ShouldDial says whether this process opens the link to a VM; the other side of
	// the pair must say the opposite.
	ShouldDial func(vm platform.VM) bool
	Hooks      Hooks
}

// Hooks are called by the member. All but Stream and Reporters run on the control goroutine and
// must not wait.
type Hooks struct {
	// Tick runs once each heartbeat interval.
	Tick func(now time.Duration)
	// IsSynced says that nothing more is to be waited for from the peers linked so
	// far before this process is told to others; nil for nothing.
	IsSynced func() bool
	// PeersChanged runs when links or peers' states changed.
	PeersChanged func(state *State)
	// HandleMessage takes the control messages that the member does not serve itself.
	HandleMessage func(peer *Peer, m *api.Control)
	// ConfigChanged runs when the configuration changed.
	ConfigChanged func(view *config.View)
	// SelectReporters gives the entry that reports for each agent, both by VM, from a list of
	// VMs alone. It is called on a goroutine of its own, since it may take long, and is
	// nil, or returns nil, where entries link to all agents.
	SelectReporters func(vms []platform.VM) map[string]string
	// RequestLink asks for a link to an agent for a while, though Options.Dials may not want one.
	RequestLink func(vm string)
	// HandleStream takes a stream opened by a peer, on a goroutine of its own.
	HandleStream func(s *link.Session, open *api.Open, stream *link.Stream)
}

// Peer is another process with a link to this one. It is immutable.
type Peer struct {
	Hello   *api.Hello
	Session *link.Session
	// Draining says that the peer stops or that its VM leaves: no new work.
	Draining bool
	// Ready says that the peer serves, as of its last heartbeat.
	Ready bool
}

// Usable says that the peer may get new work.
func (p *Peer) Usable() bool { return !p.Draining && !p.Session.Suspect() }

// State is what traffic reads. It is immutable.
type State struct {
	View *config.View
	// Mode is how far the configuration may be trusted, until ServeUntil on the
	// process's clock.
	Mode       fresh.State
	ServeUntil time.Duration
	// Peers by VM.
	Peers map[string]*Peer
	// VMs is the platform's list as last read; it lags.
	VMs []platform.VM
	// Draining says that this process is stopping.
	Draining bool
	// Linked says that every VM that this process dials was linked or could not be
	// reached once: before that its ignorance of others says nothing.
	Linked bool
	// OutOfService says that operators have taken this VM or its failure domain out, or that
	// the platform's list has it leaving.
	OutOfService bool
}

// RefusalCode returns why a process in this state takes no new work; OK if it does.
//
// The time is compared here, at the moment of use: a process that was frozen finds
// its evidence old when it wakes, before its control goroutine has run at all.
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

// UnreadyCode returns why a process in this state is not one to send new work to; OK if it
// is. One whose first links do not stand yet knows no backend server and would refuse for
// lack of any what another entry can place.
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
	// lastWrongKeyLog is when a line was last logged on one that came without the link key.
	lastWrongKeyLog atomic.Int64

	// Owned by the control goroutine.
	fold           *config.Fold
	fresh          *fresh.Tracker
	reader         *config.Reader
	peers          map[*link.Session]*peer
	byVM           map[string]*peer
	vms            []platform.VM
	nextDial       map[string]time.Duration
	failedDials    map[string]bool // VMs that could not be reached before all were tried
	wrongKey       map[string]bool // VMs that do not hold the link key
	draining       bool
	lastFetch      time.Duration
	snapshots      snapshotState
	trackedChanges map[string]*trackedChange // by change id
	reporters      *config.Reporters         // nil where entries link to all agents
	removedVMs     map[string]bool           // VMs that left the list
	leavingVMs     map[string]bool           // VMs that the list has leaving
	linked         bool
	// logFailingSince is since when the log does not answer; 0 while it does.
	logFailingSince time.Duration
	lastCountsSent  time.Duration
	readsLog        bool // the log, all the time
}

// New returns a member that does nothing yet.
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

// Run serves the member's links on a listener until the context ends.
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

// State returns what traffic may go by.
func (n *Node) State() *State { return n.state.Load() }

// Do runs a function on the control goroutine and waits for it. It returns false
// when the member has stopped.
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

// post queues a function for the control goroutine.
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

// publish makes the control state visible to traffic.
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
	// In an outage of the log evidence comes from peers alone, over several links for who
	// hears few of them. With the long interval each would add its own age, and the sum is
	// past the freshness limit.
	if n.fresh.NeedsCounts(now) || old != nil && state.changesHeartbeats(old) {
		n.link.HeartbeatSender.SendAllAtNextTick()
	}
	if n.options.Hooks.ConfigChanged != nil && (old == nil || old.View != view) {
		n.options.Hooks.ConfigChanged(view)
	}
}

func (n *Node) logMode(old, state *State) {
	if old != nil && old.Mode != state.Mode {
		_ = n.logger.Log("msg", "The mode has changed.", "result", result.Label(state.RefusalCode(clock.Now())), "mode", state.Mode, "applied", state.View.Applied())
	}
}
