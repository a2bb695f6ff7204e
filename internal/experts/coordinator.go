// Package experts coordinates the expert maps of lock-step groups of engines: it tracks which
// experts requests choose, plans maps that balance the load of the ranks, and switches all ranks of
// a group from one map to the next.
//
// One entry coordinates at a time. It holds a fence from the platform's store; engines that compare
// fences refuse an earlier coordinator. A new coordinator reads all that it needs to continue from
// the engines.
package experts

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/mapswitch"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/internal/response"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/platform"
)

const (
	// pollInterval is the time between polls of the engines, short enough to follow a popularity of
	// experts that changes within seconds.
	pollInterval = 200 * time.Millisecond
	// busyPollInterval is the time between polls while a group is switching maps: it may be held
	// and wait for the next order.
	busyPollInterval = 30 * time.Millisecond
	// callTimeout limits one round of calls to all engines.
	callTimeout = 500 * time.Millisecond
	// fenceTimeout limits a request to the store for a fence.
	fenceTimeout = time.Second
	// fenceRetryInterval is the time between requests for a fence while the store assigns none.
	// Without a coordinator, a group waits for its slowest rank in every pass, so this must end
	// soon after the store's outage. The price is a few more calls during the outage.
	fenceRetryInterval = 400 * time.Millisecond
	// standbyPollInterval is how often an entry that does not coordinate checks whether it must.
	standbyPollInterval = 50 * time.Millisecond
	// takeoverDelay is how long an entry must remain selected before it begins to coordinate.
	// Entries that start or return together would otherwise take over from each other in turn.
	// Within this time live entries hear of each other, and the first one with a fence stays the
	// coordinator.
	takeoverDelay = 100 * time.Millisecond
	// formingTime is how long a closed group is polled as often as one that switches maps. Ranks
	// form a group within a second, and when it opens, all queued requests begin on a map that does
	// not fit their experts.
	formingTime = 3 * time.Second
	// fencedBackoff is how long an entry does nothing after engines refused its fence, since
	// another one coordinates, or after a panic.
	fencedBackoff = 3 * time.Second
	// agentSilentAfter is how long a rank agent must not answer before its engine is called
	// directly, which is expensive and returns less.
	agentSilentAfter = 600 * time.Millisecond
	// agentProbeInterval is the time between probes of a rank agent that does not answer.
	agentProbeInterval = time.Second

	// topicDuties holds one key for each duty that only one entry has at a time. The offset of the
	// key's newest record gives the fence of the entry that has the duty.
	topicDuties = "keyed.duties"
	keyExperts  = "experts"
)

// Engine is an engine that may be a rank of a group.
type Engine struct {
	ID string
	// Address is the engine's host and port.
	Address string
	Config  *routing.Engine
	// MaxPause is the longest pause between two events of a stream that callers of the engine's
	// service accept; zero if unknown.
	MaxPause time.Duration
}

// ClusterView is this entry's view of the other entries and of the engines.
type ClusterView interface {
	// IsCoordinator reports whether this entry is selected to coordinate.
	IsCoordinator() bool
	// IsLeaving reports whether this entry is shutting down and no other one coordinates yet. It
	// continues to coordinate until one does.
	IsLeaving() bool
	// Engines returns the engines that have experts.
	Engines() []Engine
}

// Coordinator coordinates the expert maps while this entry is selected to.
type Coordinator struct {
	vm       string
	peerPort int
	cluster  ClusterView
	store    *platform.Store
	client   *http.Client
	logger   log.Logger

	// fence is this coordinator's fence, zero if it has none. selectedAt is when this entry was
	// selected, backoffUntil the earliest time of its next request for a fence.
	fence        atomic.Int64
	selectedAt   time.Duration
	selected     bool
	backoffUntil time.Duration
	versionCount int64
	groups       map[string]*group
	// countsReadAt is when the counts were last read.
	countsReadAt time.Duration
	agents       map[string]*agentState // by engine ID
	// groupOf holds the group that each engine last named, by engine ID.
	groupOf map[string]string
	// impairments holds the engines that are slow or closed. Other goroutines read it.
	impairments atomic.Pointer[map[string]Impairment]
	// fenced reports whether an engine has refused the fence.
	fenced bool
	// recordedPopularity is the popularity of the experts of each group that a coordinator has
	// recorded, popularityRead delivers it.
	recordedPopularity map[string][][]float64
	popularityRead     <-chan map[string][][]float64
}

// New returns a coordinator. It does nothing before Run.
func New(vm string, peerPort int, cluster ClusterView, store *platform.Store, logger log.Logger) *Coordinator {
	return &Coordinator{
		vm: vm, peerPort: peerPort, cluster: cluster, store: store, logger: logger,
		client: &http.Client{Transport: response.Transport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     10 * time.Second,
		})},
		groups:  make(map[string]*group),
		agents:  make(map[string]*agentState),
		groupOf: make(map[string]string),
	}
}

// Run coordinates whenever this entry is selected to, until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	for {
		interval := c.coordinate(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}

// coordinate takes the next step if this entry coordinates, and returns the time until the next one.
//
// A panic drops the fence and all state, as if another entry had coordinated until now. Expert maps are not on the way
// of a request: their coordination must not end the process and the requests in flight.
func (c *Coordinator) coordinate(ctx context.Context) (interval time.Duration) {
	defer func() {
		if cause := recover(); cause != nil {
			_ = level.Error(c.logger).Log("msg", "The coordination of expert maps ended by a panic. It begins anew.", "err", cause,
				"stack", string(debug.Stack()), "fence", c.fence.Load(), "result", result.Label(api.ResultCode_INTERNAL))
			c.resign()
			c.selected = false
			c.backoffUntil = clock.Now() + fencedBackoff
			interval = standbyPollInterval
		}
	}()
	if !c.ensureFence(ctx) {
		return standbyPollInterval
	}
	if c.poll(ctx) {
		return busyPollInterval
	}
	return pollInterval
}

// Fence returns the fence with which this entry coordinates, or zero if it does not. It is safe for
// concurrent use.
func (c *Coordinator) Fence() int64 { return c.fence.Load() }

// ensureFence reports whether this entry coordinates and has a fence. If it is selected and has
// none, it requests one from the store.
//
// An entry that shuts down continues until engines refuse its fence: its successor needs a moment
// to get a fence of its own, and the popularity of experts changes meanwhile.
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
		_ = level.Warn(c.logger).Log("msg", "Engines refused the fence of this entry: another entry coordinates.", "fence", c.fence.Load(),
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
		_ = level.Warn(c.logger).Log("msg", "The store assigned no fence. The request is retried.", "err", err,
			"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
		c.backoffUntil = now + fenceRetryInterval
		return false
	}
	c.fence.Store(offset + 1)
	_ = level.Info(c.logger).Log("msg", "This entry coordinates the expert maps.", "fence", c.fence.Load())
	c.startReadingPopularity(ctx)
	return true
}

// resign drops the fence and all state that belongs to it.
func (c *Coordinator) resign() {
	c.fence.Store(0)
	c.impairments.Store(nil)
	c.fenced = false
	c.groups = make(map[string]*group)
	c.groupOf = make(map[string]string)
	c.recordedPopularity, c.popularityRead = nil, nil
}

// versionsPerFence is the number of map versions that one coordinator can create.
const versionsPerFence = 1 << 20

// newVersion returns a version that no coordinator has used. Ranks could not distinguish two maps
// with the same version.
func (c *Coordinator) newVersion() int64 {
	c.versionCount++
	return c.fence.Load()*versionsPerFence + c.versionCount
}

// reservedVersion returns a version with this coordinator's fence that newVersion never returns.
func (c *Coordinator) reservedVersion() int64 { return c.fence.Load() * versionsPerFence }

// isSuperseded reports whether ranks have a version from a coordinator with a higher fence. Without
// this check, a coordinator would only find its own versions outdated and create new ones forever.
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

// poll reads the state of all engines and takes the next step of each group. It reports whether the
// next poll is due after busyPollInterval.
func (c *Coordinator) poll(ctx context.Context) bool {
	c.takePopularity()
	engines := c.cluster.Engines()
	needsCounts := c.needsCounts(clock.Now())
	responses := c.callAll(ctx, engines, func(e Engine, _ bool) *api.RankRequest {
		req := &api.RankRequest{Counts: needsCounts, Experts: c.needsExperts(e)}
		if needsCounts {
			req.CountsBase = c.countsBase(e)
		}
		return req
	})
	members := make(map[string][]*member)
	for i, resp := range responses {
		state := resp.reply.GetState()
		if state.GetGroup() == "" || state.GetSize() == 0 {
			continue
		}
		members[state.GetGroup()] = append(members[state.GetGroup()], &member{engine: engines[i], reply: resp.reply, stale: resp.direct})
	}
	impairments := c.impairmentsOf(engines, responses)
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

// needsCounts reports whether a poll at the given time must read how often experts were chosen. It
// need not while a group that switches maps is polled in quick succession.
func (c *Coordinator) needsCounts(now time.Duration) bool {
	if now-c.countsReadAt < pollInterval {
		return false
	}
	c.countsReadAt = now
	return true
}

// countsBase returns the ID of the counts that this coordinator holds of an engine; zero for none.
func (c *Coordinator) countsBase(e Engine) uint64 {
	for _, g := range c.groups {
		if counts, ok := g.lastCounts[e.ID]; ok {
			return counts.id
		}
	}
	return 0
}

// needsExperts reports whether the experts that an engine holds must be read, which happens once
// for each map that it uses.
func (c *Coordinator) needsExperts(e Engine) bool {
	for _, g := range c.groups {
		if g.knowsExperts(e.ID) {
			return false
		}
	}
	return true
}

// member is a rank of a group and its latest reply.
type member struct {
	engine Engine
	reply  *api.RankReply
	// stale reports whether the state in the reply may be some hundred milliseconds old, since it
	// was read from another VM.
	stale bool
}

// statuses returns the reports of all ranks in rank order, or nil if one is missing or the group is
// not open.
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
