// Package entry is the process on each entry VM that callers reach. It lists the addresses that
// callers may use, checks plans, admits, queues or refuses requests, and sends work to the agents
// of backend servers. It holds no state that other entries depend on.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/journal"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/platform"
	"github.com/apricothub/apricothub/internal/resources"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/shutdown"
	"github.com/apricothub/apricothub/internal/sockets"
	"github.com/apricothub/apricothub/internal/version"
)

// entry ties callers' requests, the cluster member and the decision packages together.
type entry struct {
	settings     *api.EntrySettings
	self         *api.Hello
	platform     *platform.Client
	node         *member.Node
	gate         *gate
	directory    *directory
	keys         *keyBinder
	sizes        sizeTracker
	rollouts     rolloutState
	counts       *counters
	registry     metrics.Registry
	journal      *journal.Journal
	guessLimiter *guessLimiter
	links        *linkChooser
	// shutdown follows the requests of callers.
	shutdown *shutdown.Shutdown
	logger   log.Logger

	// pendingDone counts the complete answers whose agent has yet to be told that they were
	// delivered.
	pendingDone sync.WaitGroup
	// announcedSpare is what each agent was last told about its link: whether it is a spare one.
	// Only the control goroutine uses it.
	announcedSpare map[*link.Session]bool
}

// journalRequests is the number of requests of each kind that the journal keeps for dumps.
const journalRequests = 500

// counters are the entry's metrics.
type counters struct {
	requests, whole, refused, retried, reattached metrics.Counter
}

func newCounters(registry metrics.Registry) *counters {
	return &counters{
		requests:   metrics.GetOrRegisterCounter("entry.requests", registry),
		whole:      metrics.GetOrRegisterCounter("entry.answers.whole", registry),
		refused:    metrics.GetOrRegisterCounter("entry.answers.refused", registry),
		retried:    metrics.GetOrRegisterCounter("entry.attempts.again", registry),
		reattached: metrics.GetOrRegisterCounter("entry.answers.reattached", registry),
	}
}

// Run serves as an entry until the context ends, and then shuts down gracefully: the entry leaves
// the list of addresses, goes on serving while callers may still use the old list, and returns when
// the last request is answered.
func Run(ctx context.Context, settings *api.EntrySettings, logger log.Logger) error {
	e := newEntry(settings, logger)
	listenConfig := sockets.NewListenConfig()
	linkListener, err := listenConfig.Listen(ctx, "tcp", settings.GetListen().GetLink())
	if err != nil {
		return errors.Wrap(err, "listen for links")
	}
	publicListener, err := listenConfig.Listen(ctx, "tcp", settings.GetListen().GetPublic())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	available := resources.Of(0, 0)
	links := newLinksGuard(available, logger, e.registry)
	callers := e.newCallersGuard(available)
	server := callers.NewServer(e.handler())
	e.shutdown.Follow(server)
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var group run.Group
	group.Add(func() error { return e.node.Run(workCtx, links.Listener(linkListener)) }, func(error) { stop() })
	group.Add(func() error { return e.serveAdmin(workCtx) }, func(error) { stop() })
	group.Add(func() error { return e.keys.readLoop(workCtx) }, func(error) { stop() })
	group.Add(func() error { return e.keys.appendLoop(workCtx) }, func(error) { stop() })
	guarded := callers.Listener(publicListener)
	group.Add(func() error { return e.servePublic(workCtx, server, guarded) }, func(error) { stop() })
	group.Add(func() error { return e.drainOnStop(ctx, workCtx, server, guarded) }, func(error) { stop() })
	_ = logger.Log("msg", "The entry has started.", "incarnation", e.self.GetIncarnation())
	err = group.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func newEntry(settings *api.EntrySettings, logger log.Logger) *entry {
	listen := settings.GetListen()
	publicName := listen.GetPublicName()
	if publicName == "" {
		publicName = listen.GetPublic()
	}
	registry := metrics.NewRegistry()
	e := &entry{
		settings: settings,
		self: &api.Hello{
			Vm:            settings.GetSelf().GetVm(),
			Role:          api.Role_ROLE_ENTRY,
			FailureDomain: settings.GetSelf().GetFailureDomain(),
			Incarnation:   newID(8),
			Version:       version.String(),
			LinkAddress:   listen.GetLink(),
			PublicAddress: publicName,
		},
		gate:         newGate(settings.GetPolicy()),
		directory:    newDirectory(settings.GetLink().GetAgentsPerOffer() > 0),
		sizes:        sizeTracker{averages: make(map[string]float64)},
		rollouts:     newRolloutState(),
		counts:       newCounters(registry),
		registry:     registry,
		journal:      journal.New(journalRequests),
		guessLimiter: newGuessLimiter(),
		shutdown:     shutdown.New(),
		logger:       logger,
	}
	e.links = newLinkChooser(e.self, int(settings.GetLink().GetAgentsPerOffer()), registry)
	e.directory.links = e.links
	p := settings.GetPlatform()
	e.platform = platform.New(p.GetUrl(), time.Duration(p.GetRequestTimeoutMs())*time.Millisecond)
	e.keys = newKeyBinder(e)
	e.node = member.New(member.Options{
		Self:            e.self,
		Platform:        e.platform,
		Links:           settings.GetLink(),
		LogPollInterval: time.Duration(p.GetPollMs()) * time.Millisecond,
		VMsPollInterval: time.Duration(p.GetVmsPollMs()) * time.Millisecond,
		LogReaders:      int(p.GetLogReaders()),
		SnapshotRecords: p.GetSnapshotEveryRecords(),
		SnapshotMaxAge:  time.Duration(p.GetSnapshotEveryMs()) * time.Millisecond,
		Logger:          logger,
		Registry:        registry,
		ShouldDial:      e.shouldDial,
		Hooks: member.Hooks{
			Tick:            e.tick,
			IsSynced:        e.directory.allReported,
			PeersChanged:    e.handlePeersChanged,
			HandleMessage:   e.handleMessage,
			ConfigChanged:   e.applyConfig,
			SelectReporters: e.chooseReporters,
			RequestLink:     e.ensureLinked,
		},
	})
	return e
}

// newID returns n random bytes in hex.
func newID(n int) string {
	b := make([]byte, n)
	if _, err := rand.Read(b); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b)
}

// shouldDial says whether this entry opens the link to a VM. It dials the agents that it wants
// links to, and the entries whose names come after its own, so that each pair of entries has one
// link.
func (e *entry) shouldDial(vm platform.VM) bool {
	if vm.Role == platform.RoleBackend {
		return e.links.isWanted(vm.ID)
	}
	return vm.ID > e.self.GetVm()
}

// applyConfig passes a new configuration to the packages that decide.
func (e *entry) applyConfig(view *config.View) {
	shares := e.gate.setPlans(view)
	e.keys.setShares(shares)
	if e.node != nil {
		// Marks may take agents out of service. The first view comes before the node exists and has
		// none.
		e.updateLinks(clock.Now(), e.node.State())
	}
	e.directory.setView(clock.Now(), view)
}

// tick updates the data that decisions are based on.
func (e *entry) tick(now time.Duration) {
	e.maintainLinks(now, e.node.State())
	state := e.node.State()
	e.directory.tick(now, state)
	e.updateCapacities(now)
	e.coordinateRollout(now, state)
}

// updateCapacities tells the gate the capacity of the backend servers.
func (e *entry) updateCapacities(now time.Duration) {
	entries := liveEntries(e.node.State())
	e.gate.setCapacities(e.directory.capacities(now, entries), entries)
}

// handleMessage handles an agent's message. A new offer is made known to the gate at once: until
// the next tick, requests for it would be refused as if no backend server offered it.
func (e *entry) handleMessage(peer *member.Peer, m *api.Control) {
	if e.directory.handleMessage(peer, m) {
		e.updateCapacities(clock.Now())
	}
}

// liveEntries counts the entries that share the backend servers, including this one.
func liveEntries(state *member.State) int {
	n := 1
	for _, peer := range state.Peers {
		if peer.Hello.GetRole() == api.Role_ROLE_ENTRY && !peer.Draining {
			n++
		}
	}
	return n
}

func (e *entry) servePublic(workCtx context.Context, server *http.Server, ln net.Listener) error {
	err := server.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-workCtx.Done()
		return workCtx.Err()
	}
	return err
}

// answerMargin is how long requests that have not ended in time have to answer.
const answerMargin = 300 * time.Millisecond

// drainOnStop waits for the shutdown signal, then until callers have dropped the old list of
// addresses, then for the last request.
func (e *entry) drainOnStop(ctx, workCtx context.Context, server *http.Server, listener net.Listener) error {
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
		return workCtx.Err()
	}
	policy := e.settings.GetPolicy()
	e.node.SetDraining()
	_ = e.logger.Log("msg", "The entry is stopping. It has left the list of addresses.")
	// Callers keep the addresses for address-keep-ms, and other entries learn of the shutdown a
	// heartbeat later.
	addressKeepMs := policy.GetAddressKeepMs() + 2*e.settings.GetLink().GetHeartbeatMs()
	end := clock.Now() + time.Duration(addressKeepMs+policy.GetDrainMs())*time.Millisecond
	e.shutdown.Begin(end)
	sleep(workCtx, time.Duration(addressKeepMs)*time.Millisecond)
	if err := e.shutdown.Drain(workCtx, server, listener, end+answerMargin); err != nil {
		_ = e.logger.Log("msg", "The entry stops with requests in flight.", "result", result.Label(api.ResultCode_ANSWER_BROKEN), "err", err)
	} else {
		// An agent that is not told of the delivery keeps the answer for its caller to come back,
		// and its own graceful shutdown would wait for that caller.
		e.pendingDone.Wait()
	}
	_ = e.logger.Log("msg", "The entry has stopped.")
	return context.Canceled
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
