package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/expertmap"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/platform"
)

const (
	// groupTickInterval is the time between ticks of the coordinator and reads of the engine's
	// step.
	groupTickInterval = 50 * time.Millisecond
	// engineIndex is the index of the only engine behind an agent.
	engineIndex = 0
	// maxQueuedTasks limits the tasks queued for the engine. The state machines repeat what is
	// lost with a connection.
	maxQueuedTasks = 256
)

// group runs the agent's part of one expert-parallel group, and the coordinator's on the VM of
// rank 0. One goroutine owns both state machines. Another one talks to the engine and posts its
// answers as events.
type group struct {
	settings *api.Group
	self     *api.Hello
	node     *member.Node
	engine   *engineClient
	backend  *backend
	logger   log.Logger

	events chan func()
	tasks  chan task

	agent           *expertmap.Agent
	coordinator     *expertmap.Coordinator
	placements      *placementSet
	rebalancer      *rebalancer // nil where the engines place experts themselves
	loadedMap       uint64      // the map that the engine has loaded; a load fetches the difference
	requestedMap    uint64      // the map that was last requested
	activeLoads     map[uint64]bool
	connectionCount uint64 // number of connections to the engine so far
	members         []string
	started         bool
	engineStep      uint64
	// publish passes the coordinator's status to the agent's reports.
	publish func(*api.GroupStatus)
}

// task is one call over the connection to the engine: a read of its state or an order.
type task struct {
	read  bool
	order *expertmap.Order
}

func newGroup(a *agent) *group {
	settings := a.settings.GetGroup()
	g := &group{
		settings:    settings,
		self:        a.self,
		node:        a.node,
		engine:      newEngineClient(a.settings.GetBackend().GetUrl(), a.self.GetIncarnation()),
		backend:     a.executor.backend,
		logger:      a.logger,
		events:      make(chan func(), 1024),
		activeLoads: make(map[uint64]bool),
		tasks:       make(chan task, maxQueuedTasks),
		publish:     a.groupStatus.Store,
		agent: expertmap.NewAgent(expertmap.AgentConfig{
			Group:       settings.GetName(),
			VM:          a.self.GetVm(),
			Incarnation: a.self.GetIncarnation(),
			Engines:     1,
		}),
	}
	g.placements = newPlacementSet(settings)
	if settings.GetFirstRank() == 0 {
		g.coordinator = expertmap.NewCoordinator(expertmap.CoordinatorConfig{
			Group:       settings.GetName(),
			VM:          a.self.GetVm(),
			Incarnation: a.self.GetIncarnation(),
			Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		})
	}
	return g
}

// shouldDial says that of two agents of a group, the one whose VM's name sorts first opens the
// link.
func (g *group) shouldDial(vm platform.VM) bool {
	return vm.Role == platform.RoleBackend && vm.Group == g.settings.GetName() && vm.ID > g.self.GetVm()
}

// run owns the state machines until the context ends.
func (g *group) run(ctx context.Context) error {
	go g.serveEngine(ctx)
	if g.settings.GetExperts() > 0 {
		if g.coordinator != nil {
			g.rebalancer = newRebalancer(g.placements, g.logger)
		}
		go g.pollExperts(ctx)
	}
	ticker := time.NewTicker(groupTickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-g.events:
			event()
		case <-ticker.C:
			g.tick()
		case <-ctx.Done():
			return ctx.Err()
		}
		g.process(ctx)
	}
}

// post queues an event for the goroutine that owns the state machines.
func (g *group) post(ctx context.Context, event func()) {
	select {
	case g.events <- event:
	case <-ctx.Done():
	}
}

// handleMessage queues a message of another agent. It must not block, because it is called on the
// member's control goroutine. A message lost to a full queue is sent again.
func (g *group) handleMessage(m *api.GroupMessage) {
	select {
	case g.events <- func() { g.dispatch(m) }:
	default:
	}
}

func (g *group) tick() {
	g.forgetOldMaps()
	if g.coordinator == nil {
		return
	}
	now := clock.Now()
	g.updateMembers(now)
	g.coordinator.Tick(now)
	g.publish(g.coordinatorStatus())
}

// forgetOldMaps keeps only the placements that are loaded, being loaded, held or planned.
func (g *group) forgetOldMaps() {
	usedVersions := map[uint64]bool{g.loadedMap: true, g.requestedMap: true}
	status := g.agent.Status()
	for _, r := range append(status.Acked, status.Given...) {
		usedVersions[r.Map] = true
	}
	if g.coordinator != nil {
		status := g.coordinator.Status()
		usedVersions[status.Target] = true
		for _, r := range status.Plan {
			usedVersions[r.Map] = true
		}
	}
	g.placements.retain(usedVersions)
}

// updateMembers takes the group's VMs from the platform's list. Ranges of steps are planned only
// for a complete group: the list lags, and without one of the ranks no step can run.
func (g *group) updateMembers(now time.Duration) {
	var members []string
	for _, vm := range g.node.State().VMs {
		if vm.Role == platform.RoleBackend && vm.Group == g.settings.GetName() {
			members = append(members, vm.ID)
		}
	}
	slices.Sort(members)
	complete := int64(len(members))*g.settings.GetRanks() == g.settings.GetSize()
	if !complete || slices.Equal(members, g.members) {
		return
	}
	g.members = members
	g.coordinator.SetMembers(now, members)
	if !g.started {
		g.started = true
		g.coordinator.Start(now, g.agent.Status().PromisedBallot)
		_ = g.logger.Log("msg", "This agent coordinates the group.", "group", g.settings.GetName(), "agents", len(members))
	}
}

// process carries out everything that the state machines request.
func (g *group) process(ctx context.Context) {
	for {
		ready := g.agent.Ready()
		messages := ready.Messages
		if g.coordinator != nil {
			messages = append(messages, g.coordinator.Ready().Messages...)
		}
		if ready.Empty() && len(messages) == 0 {
			return
		}
		for range ready.Reads {
			g.queueTask(task{read: true})
		}
		for _, order := range ready.Orders {
			g.queueTask(task{order: &order})
		}
		for _, load := range ready.Loads {
			g.requestedMap = load.Map
			g.startLoad(ctx, load.Map)
		}
		for _, envelope := range messages {
			g.send(envelope)
		}
	}
}

// queueTask queues a task for the goroutine of the engine's connection. A full queue means that
// the engine does not answer: the connection is closed, and a new one starts by reading the state.
func (g *group) queueTask(t task) {
	select {
	case g.tasks <- t:
	default:
		g.engine.disconnect()
	}
}

func (g *group) send(e expertmap.Envelope) {
	g.attachMaps(e.Message)
	if e.To == g.self.GetVm() {
		g.dispatch(e.Message)
		return
	}
	if peer, ok := g.node.State().Peers[e.To]; ok {
		peer.Session.Post(&api.Control{Body: &api.Control_Group{Group: e.Message}})
	}
}

// dispatch passes a message to its state machine.
func (g *group) dispatch(m *api.GroupMessage) {
	g.storeMaps(m)
	switch m.GetBody().(type) {
	case *api.GroupMessage_Seal, *api.GroupMessage_Assign, *api.GroupMessage_Release, *api.GroupMessage_Load:
		g.agent.HandleMessage(m)
	case *api.GroupMessage_Ranks:
		if g.rebalancer != nil {
			g.rebalancer.rankWork.addReport(m.GetFromVm(), m.GetRanks())
		}
	default:
		if g.coordinator != nil {
			g.coordinator.HandleMessage(clock.Now(), m)
		}
	}
}

// serveEngine keeps one connection to the engine and runs tasks over it in order.
func (g *group) serveEngine(ctx context.Context) {
	for ctx.Err() == nil {
		state, err := g.engine.connect(ctx)
		if err != nil {
			_ = g.logger.Log("level", "debug", "msg", "The expert maps of the engine could not be read; the connection will be retried.", "result", backendFailedLabel, "err", err)
			sleep(ctx, engineRetryInterval)
			continue
		}
		g.dropTasks()
		g.post(ctx, func() {
			g.connectionCount++
			g.agent.EngineUp(engineIndex)
			g.adoptInitialMap(state)
		})
		err = g.serveConnection(ctx)
		g.engine.disconnect()
		_ = g.logger.Log("msg", "The connection to the engine has ended.", "result", backendFailedLabel, "err", err)
		g.post(ctx, func() { g.agent.EngineDown(engineIndex) })
	}
}

// dropTasks drops the tasks of an earlier connection.
func (g *group) dropTasks() {
	for {
		select {
		case <-g.tasks:
		default:
			return
		}
	}
}

func (g *group) serveConnection(ctx context.Context) error {
	ticker := time.NewTicker(groupTickInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case t := <-g.tasks:
			err = g.runTask(ctx, t)
		case <-ticker.C:
			err = g.reportStep(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		if !g.engine.isConnected() {
			return errConnectionEnded
		}
	}
}

func (g *group) runTask(ctx context.Context, t task) error {
	if t.order != nil {
		return g.sendOrder(ctx, *t.order)
	}
	state, err := g.engine.readState(ctx)
	if err != nil {
		return err
	}
	g.post(ctx, func() { g.agent.EngineStateRead(engineIndex, state.engineState()) })
	return nil
}

func (g *group) sendOrder(ctx context.Context, order expertmap.Order) error {
	err := g.engine.sendOrder(ctx, order)
	if errors.Is(err, errOrderRefused) {
		state, err := g.engine.readState(ctx)
		if err != nil {
			return err
		}
		g.post(ctx, func() { g.agent.OrderRefused(engineIndex, state.Fence) })
		return nil
	}
	if err != nil {
		return err
	}
	g.post(ctx, func() { g.agent.OrderDone(engineIndex, order) })
	return nil
}

// reportStep tells the state machines the engine's current step.
func (g *group) reportStep(ctx context.Context) error {
	state, err := g.engine.readState(ctx)
	if err != nil {
		return err
	}
	g.post(ctx, func() {
		g.agent.SetEngineStep(engineIndex, state.Step)
		g.engineStep = state.Step
		if g.coordinator != nil {
			g.coordinator.SetStep(clock.Now(), state.Step)
		}
	})
	return nil
}

// adoptInitialMap makes the map that the engine started with the group's first target.
func (g *group) adoptInitialMap(state *engineMap) {
	if g.coordinator == nil || len(state.Loaded) == 0 || g.coordinator.Status().Target != 0 {
		return
	}
	initial := state.Loaded[0]
	if n := len(state.Given); n > 0 {
		initial = state.Given[n-1].MapVersion
	}
	g.coordinator.SetTarget(clock.Now(), initial)
}

// mapLoadRequest is the body of a request to load a map.
type mapLoadRequest struct {
	Version uint64  `json:"version"`
	Bytes   int64   `json:"bytes"`
	Slots   []int32 `json:"slots,omitempty"`
}

// coordinatorStatus returns the coordinator's view of the group.
func (g *group) coordinatorStatus() *api.GroupStatus {
	s := g.coordinator.Status()
	status := &api.GroupStatus{
		Ballot:    s.Ballot,
		Step:      s.Step,
		Phase:     s.Phase.String(),
		AgentsAll: uint32(len(g.members)),
		Agents:    uint32(len(g.members) - len(s.Missing)),
	}
	for _, r := range s.Plan {
		if r.Start < s.ReleasedEnd {
			status.MapVersion = r.Map
		}
	}
	if g.rebalancer != nil {
		g.rebalancer.addRankStatus(status)
	}
	return status
}
