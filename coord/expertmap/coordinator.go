package expertmap

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

// CoordinatorConfig identifies a coordinator and sets how far it plans ahead and how often it
// resends.
type CoordinatorConfig struct {
	Group       string
	VM          string
	Incarnation string
	// Members lists the VMs whose agents front the ranks of the group.
	Members []string
	// LookaheadSteps is how many steps are released ahead of the current one. Default 256, about 16
	// s at 64 ms a step. With a larger value the ranks stall less often, but a change of the map
	// takes effect later.
	LookaheadSteps uint64
	// RetryInterval is the time after which an unanswered message is sent again. Default 200 ms.
	RetryInterval time.Duration
	// HeartbeatInterval is the interval at which releases are sent again to all agents, to detect
	// one that was replaced. Default 2 s.
	HeartbeatInterval time.Duration
	// Random provides the jitter in the backoff of coordinators that race.
	Random *rand.Rand
}

const (
	defaultLookaheadSteps    = 256
	defaultRetryInterval     = 200 * time.Millisecond
	defaultHeartbeatInterval = 2 * time.Second
	// maxBackoffDoublings limits the random part of the backoff after lost races, to 32 retry
	// intervals.
	maxBackoffDoublings = 5
)

func (c CoordinatorConfig) withDefaults() CoordinatorConfig {
	if c.LookaheadSteps == 0 {
		c.LookaheadSteps = defaultLookaheadSteps
	}
	if c.RetryInterval == 0 {
		c.RetryInterval = defaultRetryInterval
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = defaultHeartbeatInterval
	}
	return c
}

// Phase is the state of a coordinator.
type Phase int

const (
	// Idle means not started, or stopped.
	Idle Phase = iota
	// Waiting means that it lost a race and backs off before the next ballot.
	Waiting
	// Sealing means that it asks all agents to promise its ballot.
	Sealing
	// Active means that it assigns and releases ranges.
	Active
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"idle", "waiting", "sealing", "active"}[p]
}

// member is what a coordinator knows of one agent under its ballot.
type member struct {
	// sealed is set once the agent has answered the seal, with the three values that follow.
	sealed      bool
	incarnation string
	given       ranges
	step        uint64
	// ackedEnd and givenEnd are the ends of the steps that the agent has acknowledged and that its
	// engines have confirmed.
	ackedEnd, givenEnd uint64
	loaded             map[uint64]bool
}

// Coordinator decides which map each step of a group uses.
type Coordinator struct {
	config CoordinatorConfig

	phase         Phase
	ballot        uint64
	highestBallot uint64
	members       map[string]*member
	// target is the map requested for future steps; 0 for none.
	target uint64
	// plan holds the ranges under this ballot. It only grows at its end, and old steps are cut off
	// its start. base is the first step that this ballot could plan.
	plan ranges
	base uint64
	// releasedEnd is the end of the steps that all agents have acknowledged.
	releasedEnd uint64
	step        uint64

	lostRaces       int
	backoffUntil    time.Duration
	lastSentAt      time.Duration
	lastHeartbeatAt time.Duration
	campaigns       int
	// conflictingSeals counts seals at which agents reported different maps for a step.
	conflictingSeals int

	ready Ready
}

// CoordinatorStatus is a snapshot of a coordinator's state.
type CoordinatorStatus struct {
	Phase       Phase
	Ballot      uint64
	Target      uint64
	Plan        []Range
	ReleasedEnd uint64
	Step        uint64
	// Missing lists the members that have not answered the last request.
	Missing []string
	// Campaigns counts the ballots started.
	Campaigns int
	// ConflictingSeals counts seals at which agents reported different maps for a step. An
	// occasional one results from a restart; more mean that engines differ.
	ConflictingSeals int
}

// NewCoordinator returns an idle coordinator.
func NewCoordinator(config CoordinatorConfig) *Coordinator {
	return &Coordinator{config: config.withDefaults()}
}

// Start begins a ballot above highestBallot, the highest that the local agent has seen.
func (c *Coordinator) Start(now time.Duration, highestBallot uint64) {
	c.highestBallot = max(c.highestBallot, highestBallot)
	c.campaign(now)
}

// Stop ends coordination. Ranges already released stay released.
func (c *Coordinator) Stop() {
	c.phase = Idle
}

// SetMembers changes the agents of the group and starts a new ballot. The ranks of a removed member
// must have ended.
func (c *Coordinator) SetMembers(now time.Duration, members []string) {
	c.config.Members = members
	if c.phase != Idle {
		c.campaign(now)
	}
}

// SetTarget requests a map for future steps. It takes effect after the ranges already assigned,
// once all agents have loaded it.
func (c *Coordinator) SetTarget(now time.Duration, version uint64) {
	c.target = version
	if c.phase == Active {
		c.sendLoads()
		c.extendPlan(now)
	}
}

// SetStep sets the step that the ranks run next.
func (c *Coordinator) SetStep(now time.Duration, step uint64) {
	if step <= c.step {
		return
	}
	c.step = step
	if c.phase == Active {
		c.extendPlan(now)
	}
}

// Ready returns the messages to send and clears them.
func (c *Coordinator) Ready() Ready {
	r := c.ready
	c.ready = Ready{}
	return r
}

// Status returns a snapshot of the state.
func (c *Coordinator) Status() CoordinatorStatus {
	s := CoordinatorStatus{
		Phase:            c.phase,
		Ballot:           c.ballot,
		Target:           c.target,
		Plan:             slices.Clone(c.plan),
		ReleasedEnd:      c.releasedEnd,
		Step:             c.step,
		Campaigns:        c.campaigns,
		ConflictingSeals: c.conflictingSeals,
	}
	for _, vm := range c.config.Members {
		if m := c.members[vm]; m != nil && c.isBehind(m) {
			s.Missing = append(s.Missing, vm)
		}
	}
	return s
}

func (c *Coordinator) isBehind(m *member) bool {
	switch c.phase {
	case Sealing:
		return !m.sealed
	case Active:
		return m.ackedEnd < c.plan.end() || m.givenEnd < c.releasedEnd
	default:
		return false
	}
}

// Tick resends what was not answered. Call it a few times in each RetryInterval.
func (c *Coordinator) Tick(now time.Duration) {
	switch c.phase {
	case Waiting:
		if now >= c.backoffUntil {
			c.campaign(now)
		}
	case Sealing:
		if now-c.lastSentAt >= c.config.RetryInterval {
			c.sendSeals(now)
		}
	case Active:
		c.extendPlan(now)
		if now-c.lastSentAt >= c.config.RetryInterval {
			c.resend(now)
		}
	}
}

func (c *Coordinator) resend(now time.Duration) {
	c.lastSentAt = now
	heartbeatDue := now-c.lastHeartbeatAt >= c.config.HeartbeatInterval
	if heartbeatDue {
		c.lastHeartbeatAt = now
	}
	for _, vm := range c.config.Members {
		m := c.members[vm]
		if m.ackedEnd < c.plan.end() {
			c.sendAssign(vm, m)
		}
		if heartbeatDue || m.givenEnd < c.releasedEnd {
			c.sendRelease(vm, m)
		}
	}
	c.sendLoads()
}

// campaign begins a new ballot and drops all that was learned under the last one: acknowledgements
// count only together with the promises of the same ballot.
func (c *Coordinator) campaign(now time.Duration) {
	c.highestBallot = max(c.highestBallot, c.ballot) + 1
	c.ballot = c.highestBallot
	c.phase = Sealing
	c.campaigns++
	c.members = make(map[string]*member, len(c.config.Members))
	for _, vm := range c.config.Members {
		c.members[vm] = &member{loaded: make(map[uint64]bool)}
	}
	c.plan, c.releasedEnd = nil, 0
	c.sendSeals(now)
}

// backOff waits before the next ballot, longer after each race lost in a row. The random part is
// needed because two coordinators that retry at the same time would keep defeating each other.
func (c *Coordinator) backOff(now time.Duration) {
	c.phase = Waiting
	jitterRange := float64(uint64(1) << min(c.lostRaces, maxBackoffDoublings))
	c.lostRaces++
	backoff := float64(c.config.RetryInterval) * (1 + jitterRange*c.config.Random.Float64())
	c.backoffUntil = now + time.Duration(backoff)
}

func (c *Coordinator) sendSeals(now time.Duration) {
	c.lastSentAt = now
	for _, vm := range c.config.Members {
		if !c.members[vm].sealed {
			c.send(vm, &api.GroupMessage{Body: &api.GroupMessage_Seal{Seal: &api.Seal{Ballot: c.ballot}}})
		}
	}
}

func (c *Coordinator) sendAssign(vm string, m *member) {
	planned := c.plan.clip(oldestNeededStep(c.step), c.plan.end())
	c.send(vm, &api.GroupMessage{Body: &api.GroupMessage_Assign{Assign: &api.Assign{
		Ballot:      c.ballot,
		Incarnation: m.incarnation,
		Ranges:      planned.toAPI(),
	}}})
}

func (c *Coordinator) sendRelease(vm string, m *member) {
	released := c.plan.clip(oldestNeededStep(c.step), c.releasedEnd)
	if len(released) == 0 {
		return
	}
	c.send(vm, &api.GroupMessage{Body: &api.GroupMessage_Release{Release: &api.Release{
		Ballot:      c.ballot,
		Incarnation: m.incarnation,
		Ranges:      released.toAPI(),
	}}})
}

// sendLoads asks the agents that lack the target map to load it.
func (c *Coordinator) sendLoads() {
	if !c.isSwitching() {
		return
	}
	for _, vm := range c.config.Members {
		m := c.members[vm]
		if m.loaded[c.target] {
			continue
		}
		c.send(vm, &api.GroupMessage{Body: &api.GroupMessage_Load{Load: &api.LoadMap{
			Ballot:      c.ballot,
			Incarnation: m.incarnation,
			MapVersion:  c.target,
		}}})
	}
}

func (c *Coordinator) send(to string, m *api.GroupMessage) {
	m.Group = c.config.Group
	m.FromVm = c.config.VM
	m.FromIncarnation = c.config.Incarnation
	c.ready.Messages = append(c.ready.Messages, Envelope{To: to, Message: m})
}
