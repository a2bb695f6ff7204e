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
	// Poll is the time between looks at the log, VMsPoll that between looks at the
	// list of VMs, which is large and changes little.
	Poll, VMsPoll time.Duration
	// LogReaders is how many entries of each failure domain look at the log all the
	// time; 0 for all processes.
	LogReaders int
	// SnapshotEvery is the number of records, and SnapshotAge the time, after which
	// the fold is appended again; 0 for a member that leaves that to others.
	SnapshotEvery int64
	SnapshotAge   time.Duration
	Logger        log.Logger
	// Registry takes the member's metrics; nil for none.
	Registry metrics.Registry
	// Dials says whether this process opens the link to a VM; the other side of
	// the pair must say the opposite.
	Dials func(vm platform.VM) bool
	Hooks Hooks
}

// Hooks are called by the member. All but Stream and Reporters run on the control goroutine and
// must not wait.
type Hooks struct {
	// Tick runs once each heartbeat interval.
	Tick func(now time.Duration)
	// Complete says that nothing more is to be waited for from the peers linked so
	// far before this process is told to others; nil for nothing.
	Complete func() bool
	// Peers runs when links or peers' states changed.
	Peers func(state *State)
	// Message takes the control messages that the member does not serve itself.
	Message func(peer *Peer, m *api.Control)
	// Changed runs when the configuration changed.
	Changed func(view *config.View)
	// Reporters gives the entry that reports for each agent, both by VM, from a list of
	// VMs alone. It is called on a goroutine of its own, since it may take long, and is
	// nil, or returns nil, where entries link to all agents.
	Reporters func(vms []platform.VM) map[string]string
	// Reach asks for a link to an agent for a while, though Options.Dials may not want one.
	Reach func(vm string)
	// Stream takes a stream opened by a peer, on a goroutine of its own.
	Stream func(s *link.Session, open *api.Open, stream *link.Stream)
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
	// Out says that operators have taken this VM or its failure domain out, or that
	// the platform's list has it leaving.
	Out bool
}

// Refusing returns why a process in this state takes no new work; OK if it does.
//
// The time is compared here, at the moment of use: a process that was frozen finds
// its evidence old when it wakes, before its control goroutine has run at all.
func (s *State) Refusing(now time.Duration) api.ResultCode {
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

// Unready returns why a process in this state is not one to send new work to; OK if it
// is. One whose first links do not stand yet knows no backend server and would refuse for
// lack of any what another entry can place.
func (s *State) Unready(now time.Duration) api.ResultCode {
	if code := s.Refusing(now); code != api.ResultCode_OK {
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
	// strangerAt is when a line was last logged on one that came without the link key.
	strangerAt atomic.Int64

	// Owned by the control goroutine.
	fold      *config.Fold
	fresh     *fresh.Tracker
	reader    *config.Reader
	peers     map[*link.Session]*peer
	byVM      map[string]*peer
	vms       []platform.VM
	dialling  map[string]time.Duration
	failed    map[string]bool // VMs that could not be reached before all were tried
	unproved  map[string]bool // VMs that do not hold the link key
	draining  bool
	fetchedAt time.Duration
	snapshot  snapshotDuty
	followed  map[string]*followed // by change id
	reporters *config.Reporters    // nil where entries link to all agents
	gone      map[string]bool      // VMs that left the list
	leaving   map[string]bool      // VMs that the list has leaving
	linked    bool
	// logFailing is since when the log does not answer; 0 while it does.
	logFailing time.Duration
	countsSent time.Duration
	reading    bool // the log, all the time
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
			IdleInterval:      idleHeartbeat(o.Links),
			HeartbeatSender:   link.NewHeartbeatSender(),
		},
		calls:    make(chan func(), 1024),
		done:     make(chan struct{}),
		fold:     config.NewFold(),
		fresh:    fresh.New(o.Self.GetVm(), freshness),
		peers:    make(map[*link.Session]*peer),
		byVM:     make(map[string]*peer),
		dialling: make(map[string]time.Duration),
		failed:   make(map[string]bool),
		followed: make(map[string]*followed),
		reading:  o.LogReaders == 0,
		gone:     make(map[string]bool),
		unproved: make(map[string]bool),
	}
	n.link.OnWrongKey = n.noteStranger
	if o.Registry != nil {
		n.link = n.link.WithCounters(o.Registry)
	}
	n.reader = config.NewReader(n.fold)
	n.snapshot.last = -1
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
	n.noteLinked()
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
		View:       view,
		Mode:       n.fresh.State(now),
		ServeUntil: n.fresh.ServesUntil(now),
		Peers:      n.snapshotPeers(old),
		VMs:        n.vms,
		Draining:   n.draining,
		Linked:     n.linked,
		Out:        view.VMOutOfService(self.GetVm(), self.GetFailureDomain()) || n.leaving[self.GetVm()],
	}
	n.state.Store(state)
	n.logMode(old, state)
	// In an outage of the log evidence comes from peers alone, over several links for who
	// hears few of them. With the long interval each would add its own age, and the sum is
	// past the freshness limit.
	if n.fresh.NeedsCounts(now) || old != nil && state.tells(old) {
		n.link.HeartbeatSender.SendAllAtNextTick()
	}
	if n.options.Hooks.Changed != nil && (old == nil || old.View != view) {
		n.options.Hooks.Changed(view)
	}
}

func (n *Node) logMode(old, state *State) {
	if old != nil && old.Mode != state.Mode {
		_ = n.logger.Log("msg", "The mode has changed.", "result", result.Label(state.Refusing(clock.Now())), "mode", state.Mode, "applied", state.View.Applied())
	}
}
