// Package gateway is the entry that serves callers on the users' platform: it takes a caller's
// request, finds its route and team, places it on a backend server and passes the answer back,
// without an agent in between.
//
// The control goroutine owns the process's state and publishes it as an immutable view; each
// request uses the view that is current when it arrives. Package platform holds all names on the
// wire.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/experts"
	"github.com/apricothub/apricothub/internal/logging"
	"github.com/apricothub/apricothub/internal/resources"
	"github.com/apricothub/apricothub/internal/response"
	"github.com/apricothub/apricothub/internal/shutdown"
	"github.com/apricothub/apricothub/internal/sockets"
	"github.com/apricothub/apricothub/internal/upstream"
	"github.com/apricothub/apricothub/platform"
)

const (
	// connectTimeout limits connecting to a backend server: many times a network delay, and little
	// of the shortest deadline, so that another server can still be tried.
	connectTimeout = 250 * time.Millisecond
	// maxPendingUpdates is the number of reads that may wait for the control goroutine.
	maxPendingUpdates = 16
	// maxPendingHeartbeats is the number of heartbeats that may wait for it.
	maxPendingHeartbeats = 256
	// sweepInterval is the time between two checks for idle connections that have expired.
	sweepInterval = 500 * time.Millisecond
)

// Gateway is one entry.
type Gateway struct {
	settings    *platform.Settings
	resources   resources.Resources
	logger      log.Logger
	incarnation uint64
	store       *platform.Store
	fleet       *fleet
	pool        *upstream.Pool
	// buffers hold answers and bodies the bodies of requests.
	buffers, bodies *bounded.Buffers
	ends            *endProber
	prompts         *promptGuard
	metrics         *counters
	experts         *experts.Coordinator
	listen          net.ListenConfig
	socket          *net.UDPConn
	peerClient      *http.Client
	// membersInterval is the constant of that name, except in tests.
	membersInterval time.Duration
	timing          storeTiming

	view    atomic.Pointer[view]
	leaving atomic.Bool
	// shutdown follows the requests of callers.
	shutdown *shutdown.Shutdown
	// readsStore means that this entry reads the store, for itself or also for others. isStoreReader means
	// that it is one of those that read it for all.
	readsStore, isStoreReader atomic.Bool
	// storeRetryInterval is the longest time between two calls while the store does not answer, in
	// nanoseconds.
	storeRetryInterval atomic.Int64

	// Input of the control goroutine.
	updates       chan topicUpdate
	heartbeats    chan *api.PeerBeat
	fetchedStates chan fetchedState
	stateRequests chan stateRequest
	memberLists   chan memberList
	// quarantineRecords are to be stored.
	quarantineRecords chan quarantineRecord
	leave             chan struct{}
	// askStore is closed when a starting process is to ask the store for everything, toldByPeers when other
	// entries have told it everything.
	askStore, toldByPeers chan struct{}
	// stateSlots limits the entries that this one sends its records to at a time.
	stateSlots chan struct{}
	// started is closed when this entry first knows the configuration and a backend server.
	started chan struct{}
	// stopped is closed when the process ends.
	stopped chan struct{}
}

func newGateway(s *platform.Settings, logger log.Logger) *Gateway {
	timing := newStoreTiming(s.Bounds)
	transport := response.Transport(&http.Transport{
		DialContext:           sockets.NewDialer(storeTimeout).DialContext,
		MaxIdleConnsPerHost:   4,
		IdleConnTimeout:       10 * time.Second,
		DisableCompression:    true,
		ResponseHeaderTimeout: timing.operatorsLongPoll + storeTimeout,
	})
	counters := newCounters()
	available := resources.Of(s.MemoryBytes, s.Descriptors)
	g := &Gateway{
		settings: s, resources: available, logger: logger, incarnation: newIncarnation(time.Now()),
		store: platform.NewStore(s.Store.Address, countingTransport{transport, counters}),
		fleet: newFleet(s.IP, limits{
			coldMaxRatio: s.Bounds.ColdMaxRatio, coldSlack: s.Bounds.ColdSlack,
			retry: retryLimits(s.Bounds),
		}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		pool:    upstream.NewPool(connectTimeout),
		buffers: bounded.NewBuffers(available.Memory(answersMemory)), bodies: bounded.NewBuffers(available.Memory(callersMemory)),
		ends:    newEndProber(),
		prompts: newPromptGuard(s.IP),
		listen:  sockets.NewListenConfig(),
		metrics: counters,
		peerClient: &http.Client{Transport: response.Transport(&http.Transport{
			DialContext:       (&net.Dialer{Timeout: connectTimeout}).DialContext,
			DisableKeepAlives: true,
		})},
		membersInterval:   membersInterval,
		timing:            timing,
		askStore:          make(chan struct{}),
		toldByPeers:       make(chan struct{}),
		stateSlots:        make(chan struct{}, maxStateResponses),
		updates:           make(chan topicUpdate, maxPendingUpdates),
		heartbeats:        make(chan *api.PeerBeat, maxPendingHeartbeats),
		fetchedStates:     make(chan fetchedState),
		stateRequests:     make(chan stateRequest),
		memberLists:       make(chan memberList),
		quarantineRecords: make(chan quarantineRecord, maxPendingQuarantines),
		leave:             make(chan struct{}),
		started:           make(chan struct{}),
		stopped:           make(chan struct{}),
	}
	g.shutdown = g.fleet.shutdown
	g.store.OnRecordError = newRecordLog(logging.Part(logger, "store")).report
	g.fleet.ejections, g.fleet.limitsStated, g.fleet.restsAsked = counters.ejected, counters.limited, counters.rested
	g.fleet.divisions = counters.divisions
	g.fleet.logger = logging.Part(logger, "servers")
	g.fleet.retries.logger = logging.Part(logger, "retries")
	g.experts = experts.New(s.VM, s.PeerPort, g, g.store, logging.Part(logger, "experts"))
	return g
}

// newIncarnation returns the incarnation of a process that starts at a time of day. It is larger than those
// of earlier processes on the VM, unless its clock was set back.
func newIncarnation(now time.Time) uint64 {
	const randomBits = 20
	return uint64(now.UnixMilli())<<randomBits | rand.Uint64N(1<<randomBits)
}

// Run serves until ctx ends, and then shuts down gracefully.
func Run(ctx context.Context, s *platform.Settings, logger log.Logger) error {
	return newGateway(s, logger).run(ctx)
}

func (g *Gateway) run(ctx context.Context) error {
	defer close(g.stopped)
	if err := g.listenHeartbeats(); err != nil {
		return err
	}
	endpoints, err := g.listenAll()
	if err != nil {
		_ = g.socket.Close()
		return err
	}
	s := g.settings
	_ = level.Info(g.logger).Log("msg", "The process starts.", "failure_domain", s.FailureDomain,
		"ip", s.IP, "store", s.Store.Address, "seeds", len(s.Seeds))
	var group run.Group
	// The parts have a context of their own, so that they run on while requests are drained.
	partsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	addPart := func(part func(context.Context) error) {
		group.Add(func() error { return part(partsCtx) }, func(error) { cancel() })
	}
	addPart(newControl(g, logging.Part(g.logger, "control"), clock.Now()).run)
	addPart(g.newFollower(platform.TopicOperators, g.timing.operatorsLongPoll, 0).run)
	addPart(g.newFollower(platform.TopicServers, 0, g.timing.serversInterval).run)
	addPart(g.receiveHeartbeats)
	addPart(g.maintainMembership)
	addPart(g.maintainQuarantines)
	addPart(g.maintainRetryClaims)
	addPart(g.sweepConnections)
	addPart(g.experts.Run)
	group.Add(func() error { return g.serveAll(ctx, partsCtx, endpoints) }, func(error) { cancel() })
	err = group.Run()
	_ = g.socket.Close()
	_ = level.Info(g.logger).Log("msg", "The process stops.", "uptime_ms", clock.Now().Milliseconds())
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// IsCoordinator implements experts.ClusterView.
func (g *Gateway) IsCoordinator() bool {
	v := g.view.Load()
	return v != nil && v.isCoordinator
}

// IsLeaving implements experts.ClusterView.
func (g *Gateway) IsLeaving() bool {
	v := g.view.Load()
	return g.leaving.Load() && v != nil && !v.takenOver
}

// Engines implements experts.ClusterView.
func (g *Gateway) Engines() []experts.Engine {
	v := g.view.Load()
	if v == nil {
		return nil
	}
	return v.engines
}

func (g *Gateway) newFollower(topic string, wait, interval time.Duration) *follower {
	return &follower{
		topic: topic, store: g.store, wait: wait, interval: interval, isNeeded: g.readsStore.Load, minBackoff: g.minStoreBackoff, maxBackoff: g.maxStoreBackoff, logger: logging.Part(g.logger, "store"), updates: g.updates,
		repairInterval: func() time.Duration { return g.repairInterval(idleInterval) },
	}
}

// repairInterval returns the time between two reads of the store that only repair what heartbeats
// and other entries did not tell: least, or longer with many entries.
func (g *Gateway) repairInterval(least time.Duration) time.Duration {
	v := g.view.Load()
	if v == nil {
		return least
	}
	others := float64(v.entries - 1)
	return max(least, time.Duration(others/repairReadsPerSecond*float64(time.Second)))
}

// minStoreBackoff returns the least time between two calls while the store does not answer; zero for an
// entry that reads for all.
func (g *Gateway) minStoreBackoff() time.Duration {
	return time.Duration(g.storeRetryInterval.Load())
}

// maxStoreBackoff returns the longest time between two calls while the store does not answer.
func (g *Gateway) maxStoreBackoff() time.Duration {
	return max(maxRetryInterval, time.Duration(g.storeRetryInterval.Load()))
}

func (g *Gateway) listenHeartbeats() error {
	addr := &net.UDPAddr{IP: net.ParseIP(g.settings.IP), Port: g.settings.PeerPort}
	socket, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return errors.Wrap(err, "listen for heartbeats")
	}
	g.socket = socket
	return nil
}

// sweepConnections closes expired idle connections, and at the end the socket for heartbeats.
func (g *Gateway) sweepConnections(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = g.socket.Close()
			return ctx.Err()
		case <-ticker.C:
			g.pool.CloseExpired(g.fleet.isKnown)
		}
	}
}
