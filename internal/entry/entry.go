// Package entry is the process on each entry VM that callers reach. It answers which
// addresses to use, checks plans, decides what runs, waits or is refused, and sends
// work to the agents of backend servers. It holds nothing that another entry could
// not do without.
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
	"github.com/apricothub/apricothub/internal/httpguard"
	"github.com/apricothub/apricothub/internal/journal"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/platform"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/version"
)

// entry ties callers' requests, the member and the decisions together.
type entry struct {
	settings  *api.EntrySettings
	self      *api.Hello
	platform  *platform.Client
	node      *member.Node
	gate      *gate
	directory *directory
	keys      *keys
	sizes     sizes
	rollouts  rollouts
	counts    *counters
	registry  metrics.Registry
	journal   *journal.Journal
	guesses   *guesses
	links     *links
	logger    log.Logger

	// telling counts the answers of which an agent is still to be told that the caller has
	// them.
	telling sync.WaitGroup
	// told is what agents were told of their links, by the control goroutine.
	told map[*link.Session]bool
}

// journalRequests is how many requests of each kind a dump can tell of.
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

// Run serves as an entry until the context ends; then it stops in a planned way: it
// leaves the list of addresses, serves on while callers keep the old list, and
// returns when the last request has its answer.
func Run(ctx context.Context, settings *api.EntrySettings, logger log.Logger) error {
	e := newEntry(settings, logger)
	links, err := net.Listen("tcp", settings.GetListen().GetLink())
	if err != nil {
		return errors.Wrap(err, "listen for links")
	}
	public, err := net.Listen("tcp", settings.GetListen().GetPublic())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	server := httpguard.NewServer(settings.GetLimits(), e.handler(), logger)
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var group run.Group
	group.Add(func() error { return e.node.Run(work, links) }, func(error) { stop() })
	group.Add(func() error { return e.serveAdmin(work) }, func(error) { stop() })
	group.Add(func() error { return e.keys.follow(work) }, func(error) { stop() })
	group.Add(func() error { return e.keys.append(work) }, func(error) { stop() })
	group.Add(func() error { return e.servePublic(work, server, public) }, func(error) { stop() })
	group.Add(func() error { return e.drainAfter(ctx, work, server) }, func(error) { stop() })
	_ = logger.Log("msg", "The entry has started.", "incarnation", e.self.GetIncarnation())
	err = group.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func newEntry(settings *api.EntrySettings, logger log.Logger) *entry {
	listen := settings.GetListen()
	public := listen.GetPublicName()
	if public == "" {
		public = listen.GetPublic()
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
			PublicAddress: public,
		},
		gate:      newGate(settings.GetPolicy()),
		directory: newDirectory(settings.GetLink().GetAgentsPerOffer() > 0),
		sizes:     sizes{usual: make(map[string]float64)},
		rollouts:  newRollouts(),
		counts:    newCounters(registry),
		registry:  registry,
		journal:   journal.New(journalRequests),
		guesses:   newGuesses(),
		logger:    logger,
	}
	e.links = newLinks(e.self, int(settings.GetLink().GetAgentsPerOffer()), registry)
	e.directory.links = e.links
	p := settings.GetPlatform()
	e.platform = platform.New(p.GetUrl(), time.Duration(p.GetRequestTimeoutMs())*time.Millisecond)
	e.keys = newKeys(e)
	e.node = member.New(member.Options{
		Self:          e.self,
		Platform:      e.platform,
		Links:         settings.GetLink(),
		Poll:          time.Duration(p.GetPollMs()) * time.Millisecond,
		VMsPoll:       time.Duration(p.GetVmsPollMs()) * time.Millisecond,
		LogReaders:    int(p.GetLogReaders()),
		SnapshotEvery: p.GetSnapshotEveryRecords(),
		SnapshotAge:   time.Duration(p.GetSnapshotEveryMs()) * time.Millisecond,
		Logger:        logger,
		Registry:      registry,
		Dials:         e.dials,
		Hooks: member.Hooks{
			Tick:      e.tick,
			Complete:  e.directory.complete,
			Peers:     e.peersChanged,
			Message:   e.message,
			Changed:   e.configured,
			Reporters: e.reporters,
			Reach:     e.keepReach,
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

// dials says that this entry opens the links to agents, all or those that it wants, and
// to the entries whose names come after its own, so that each pair has one link.
func (e *entry) dials(vm platform.VM) bool {
	if vm.Role == platform.RoleBackend {
		return e.links.wants(vm.ID)
	}
	return vm.ID > e.self.GetVm()
}

// configured takes a new configuration to the decisions.
func (e *entry) configured(view *config.View) {
	shares := e.gate.setPlans(view)
	e.keys.setShares(shares)
	if e.node != nil {
		// The marks may take agents away; the member's own first view has none.
		e.chooseLinks(clock.Now(), e.node.State())
	}
	e.directory.setView(clock.Now(), view)
}

// tick refreshes what decisions go by.
func (e *entry) tick(now time.Duration) {
	e.keepLinks(now, e.node.State())
	state := e.node.State()
	e.directory.tick(now, state)
	e.measureRoom(now)
	e.driveRollout(now, state)
}

// measureRoom tells the gate what the backend servers have room for.
func (e *entry) measureRoom(now time.Duration) {
	entries := liveEntries(e.node.State())
	e.gate.setRoom(e.directory.rooms(now, entries), entries)
}

// message takes an agent's report. What a new one offers is admitted at once: until
// the next tick its requests would be refused as if nobody offered it.
func (e *entry) message(peer *member.Peer, m *api.Control) {
	if e.directory.message(peer, m) {
		e.measureRoom(clock.Now())
	}
}

// liveEntries counts the entries that share the backend servers, this one included.
func liveEntries(state *member.State) int {
	n := 1
	for _, peer := range state.Peers {
		if peer.Hello.GetRole() == api.Role_ROLE_ENTRY && !peer.Draining {
			n++
		}
	}
	return n
}

func (e *entry) servePublic(work context.Context, server *http.Server, ln net.Listener) error {
	err := server.Serve(httpguard.LimitListener(ln, int(e.settings.GetLimits().GetConnections())))
	if errors.Is(err, http.ErrServerClosed) {
		<-work.Done()
		return work.Err()
	}
	return err
}

// drainAfter waits for the planned stop, then for what callers keep, then for the
// last request.
func (e *entry) drainAfter(ctx, work context.Context, server *http.Server) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return work.Err()
	}
	policy := e.settings.GetPolicy()
	e.node.SetDraining()
	_ = e.logger.Log("msg", "The entry is stopping. It has left the list of addresses.")
	// Callers were told to keep the addresses this long; and other entries hear of
	// the stop a heartbeat later.
	keep := policy.GetAddressKeepMs() + 2*e.settings.GetLink().GetHeartbeatMs()
	pause(work, time.Duration(keep)*time.Millisecond)
	limit, cancel := context.WithTimeout(work, time.Duration(policy.GetDrainMs())*time.Millisecond)
	defer cancel()
	if err := server.Shutdown(limit); err != nil {
		_ = e.logger.Log("msg", "The entry stops with requests under way.", "result", result.Label(api.ResultCode_ANSWER_BROKEN), "err", err)
	} else {
		// An agent that was not told would keep the answer for its caller to come back, and
		// a planned stop of its own would wait for that.
		e.telling.Wait()
	}
	_ = e.logger.Log("msg", "The entry has stopped.")
	return context.Canceled
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
