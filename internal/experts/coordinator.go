// Package experts coordinates the expert maps of lock-step groups of engines: it follows
// which experts requests choose, plans maps that keep the ranks evenly busy, and takes all
// ranks of a group from one map to the next.
//
// One entry coordinates at a time. It holds a fencing number from the platform's store;
// engines that check it refuse an earlier coordinator. All that a coordinator must know to
// go on from another one it reads from the engines.
package experts

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/mapswitch"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/platform"
)

const (
	// pollInterval is the time between two looks at the engines: often enough to follow a
	// popularity that changes within seconds.
	pollInterval = 200 * time.Millisecond
	// busyPollInterval is the same while a group is being switched, and may have to wait for it.
	busyPollInterval = 30 * time.Millisecond
	// callTimeout bounds one question to all engines together.
	callTimeout = 500 * time.Millisecond
	// fenceTimeout bounds asking the store for a fencing number.
	fenceTimeout = time.Second
	// fenceRetryInterval is the time between two requests for a number while the store gives none. An
	// outage costs a few calls more, and a group without coordinator waits for its slowest
	// rank in every pass for no longer than the outage.
	fenceRetryInterval = 400 * time.Millisecond
	// standbyPollInterval is the time between two looks whether this entry coordinates, while it does not.
	standbyPollInterval = 50 * time.Millisecond
	// takeoverDelay is how long an entry must be the one to coordinate before it begins: those
	// that start or return at the same time do not take turns. Within it entries that live
	// hear of each other; the first one that has a number keeps the duty.
	takeoverDelay = 100 * time.Millisecond
	// formingTime is for how long after it was seen closed a group is looked at as often as one
	// that is being switched: ranks form a group within a second, and when it opens all that
	// has waited begins with a map that fits nothing.
	formingTime = 3 * time.Second
	// fencedBackoff is how long it does nothing after engines refused its number: another one
	// coordinates.
	fencedBackoff = 3 * time.Second
	// agentSilentAfter is how long the process beside an engine must be silent before the engine is
	// asked directly: that is dear, and tells less.
	agentSilentAfter = 600 * time.Millisecond
	// agentProbeInterval is how often the process is tried meanwhile.
	agentProbeInterval = time.Second

	// topicDuties holds one key for each duty that one entry has at a time; the offset of
	// its newest record is the number of the one that has it.
	topicDuties = "keyed.duties"
	keyExperts  = "experts"
)

// Engine is one engine that may be a rank.
type Engine struct {
	ID string
	// Address is where it takes requests.
	Address string
	Config  *routing.Engine
	// MaxPause is the longest pause between two events that callers of its service accept;
	// zero for unknown.
	MaxPause time.Duration
}

// ClusterView is what a coordinator goes by.
type ClusterView interface {
	// IsCoordinator says whether this entry is the one to coordinate.
	IsCoordinator() bool
	// IsLeaving says that this entry is stopping and that no other one coordinates yet: it
	// goes on coordinating until then.
	IsLeaving() bool
	// Engines returns the engines that have experts.
	Engines() []Engine
}

// Coordinator is this entry's part in coordinating.
type Coordinator struct {
	vm       string
	peerPort int
	cluster  ClusterView
	store    *platform.Store
	client   *http.Client
	logger   log.Logger

	// fence is this coordinator's number, zero for none; since is when it became the one to
	// coordinate, restUntil when it may ask for a number again.
	fence        atomic.Int64
	selectedAt   time.Duration
	selected     bool
	backoffUntil time.Duration
	versionCount int64
	groups       map[string]*group
	agents       map[string]*agentState // by engine
	// impairments are the engines that are slow or closed, for others to read.
	impairments atomic.Pointer[map[string]Impairment]
	// fenced says that an engine refused the number.
	fenced bool
}

// New returns a coordinator that has done nothing yet.
func New(vm string, peerPort int, cluster ClusterView, store *platform.Store, logger log.Logger) *Coordinator {
	return &Coordinator{
		vm: vm, peerPort: peerPort, cluster: cluster, store: store, logger: logger,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     10 * time.Second,
		}},
		groups: make(map[string]*group),
		agents: make(map[string]*agentState),
	}
}

// Run coordinates whenever this entry is the one to, until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	for {
		interval := standbyPollInterval
		if c.ensureFence(ctx) {
			interval = pollInterval
			if c.poll(ctx) {
				interval = busyPollInterval
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}

// Fence is the number with which this entry coordinates, zero when it does not. It may be
// called by any goroutine.
func (c *Coordinator) Fence() int64 { return c.fence.Load() }

// minSlowdown is the pace from which on an engine counts as slow: well above what healthy ones
// differ by.
const minSlowdown = 1.3

// Impairment is what keeps an engine from its usual work.
type Impairment struct {
	// Slowdown is how many times slower than usual it is.
	Slowdown float64
	// Closed says that it takes no work, since its group is broken.
	Closed bool
}

// Impairments returns the engines that are slow or closed. It may be called by any goroutine.
func (c *Coordinator) Impairments() map[string]Impairment {
	if impairments := c.impairments.Load(); impairments != nil {
		return *impairments
	}
	return nil
}

// ensureFence says whether this entry coordinates and has a number for it.
//
// An entry that leaves goes on until engines refuse its number: the one that follows it needs
// a moment for a number of its own, and popularity does not wait.
func (c *Coordinator) ensureFence(ctx context.Context) bool {
	now := clock.Now()
	replaced := c.fenced && c.cluster.IsLeaving()
	if replaced || !c.cluster.IsCoordinator() && !(c.cluster.IsLeaving() && c.fence.Load() != 0) {
		if c.fence.Load() != 0 {
			_ = level.Info(c.logger).Log("msg", "This entry no longer coordinates the expert maps.", "fence", c.fence.Load())
		}
		c.resign()
		c.selected = false
		return false
	}
	if !c.selected {
		c.selected = true
		c.selectedAt = now
	}
	if c.fenced {
		_ = level.Warn(c.logger).Log("msg", "Engines follow another coordinator.", "fence", c.fence.Load(),
			"result", result.Label(api.ResultCode_CONFLICT))
		c.resign()
		c.backoffUntil = now + fencedBackoff
	}
	if now-c.selectedAt < takeoverDelay || now < c.backoffUntil || len(c.cluster.Engines()) == 0 {
		return false
	}
	if c.fence.Load() != 0 {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	offset, err := c.store.Put(callCtx, topicDuties, keyExperts, []byte(c.vm))
	if err != nil {
		_ = level.Warn(c.logger).Log("msg", "The store gave no fencing number.", "err", err,
			"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
		c.backoffUntil = now + fenceRetryInterval
		return false
	}
	c.fence.Store(offset + 1)
	_ = level.Info(c.logger).Log("msg", "This entry coordinates the expert maps.", "fence", c.fence.Load())
	return true
}

// resign forgets what belongs to the number.
func (c *Coordinator) resign() {
	c.fence.Store(0)
	c.impairments.Store(nil)
	c.fenced = false
	c.groups = make(map[string]*group)
}

// versionsPerFence is the number of versions that one coordinator can make.
const versionsPerFence = 1 << 20

// newVersion makes a newVersion that no coordinator has used: two maps under one newVersion would
// look alike to the ranks.
func (c *Coordinator) newVersion() int64 {
	c.versionCount++
	return c.fence.Load()*versionsPerFence + c.versionCount
}

// reservedVersion is a version that no coordinator makes.
func (c *Coordinator) reservedVersion() int64 { return c.fence.Load() * versionsPerFence }

// isSuperseded says that ranks have a version of a coordinator with a higher number. A
// coordinator that only found its own versions too low would make new ones for good.
func (c *Coordinator) isSuperseded(status []mapswitch.Status) bool {
	for _, s := range status {
		newest := max(s.Map, s.Prepared)
		if s.Armed != nil {
			newest = max(newest, s.Armed.Version)
		}
		if newest/versionsPerFence > c.fence.Load() {
			return true
		}
	}
	return false
}

// poll reads all engines and does for each group what is next. It returns whether the next poll
// must not wait.
func (c *Coordinator) poll(ctx context.Context) bool {
	engines := c.cluster.Engines()
	responses := c.callAll(ctx, engines, func(e Engine) *api.RankRequest {
		return &api.RankRequest{Counts: true, Experts: c.needsExperts(e)}
	})
	members := make(map[string][]*member)
	impairments := make(map[string]Impairment)
	for i, resp := range responses {
		state := resp.reply.GetState()
		closed := state.GetGroup() != "" && !state.GetOpen()
		if closed || state.GetPace() >= minSlowdown {
			impairments[engines[i].ID] = Impairment{Slowdown: max(state.GetPace(), 1), Closed: closed}
		}
		if state.GetGroup() == "" || state.GetSize() == 0 {
			continue
		}
		members[state.GetGroup()] = append(members[state.GetGroup()], &member{engine: engines[i], reply: resp.reply, stale: resp.direct})
	}
	c.impairments.Store(&impairments)
	busy := false
	for name, ms := range members {
		g := c.groups[name]
		if g == nil {
			g = newGroup(c, name)
			c.groups[name] = g
		}
		busy = g.update(ctx, ms) || busy
	}
	return busy
}

// needsExperts says whether the experts that an engine holds must be read: once for each map
// that it uses.
func (c *Coordinator) needsExperts(e Engine) bool {
	for _, g := range c.groups {
		if g.knowsExperts(e.ID) {
			return false
		}
	}
	return true
}

// member is one rank of a group with its last reply.
type member struct {
	engine Engine
	reply  *api.RankReply
	// stale says that the state in the reply is of some moments ago.
	stale bool
}

// statuses returns what the ranks report, in their order; nil unless all of them do and the
// group is open.
func statuses(members []*member) []mapswitch.Status {
	size := int(members[0].reply.GetState().GetSize())
	if len(members) != size {
		return nil
	}
	out := make([]mapswitch.Status, size)
	seen := make([]bool, size)
	for _, m := range members {
		state := m.reply.GetState()
		rank := int(state.GetRank())
		if !state.GetOpen() || rank < 0 || rank >= size || seen[rank] {
			return nil
		}
		seen[rank] = true
		out[rank] = ranks.StatusFromWire(state)
		out[rank].Stale = m.stale
	}
	return out
}
