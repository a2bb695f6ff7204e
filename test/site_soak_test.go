package test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/internal/history"
	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/harness"
	"github.com/apricothub/apricothub/test/malformed"
)

const (
	// soakSeedsEnv names the environment variable with the number of seeds, counted from
	// soakSeedEnv.
	soakSeedsEnv = "APRICOTHUB_SOAK_SEEDS"
	// soakGatewaysEnv and soakEnginesEnv name the environment variables with the size of the site.
	soakGatewaysEnv = "APRICOTHUB_SOAK_GATEWAYS"
	soakEnginesEnv  = "APRICOTHUB_SOAK_ENGINES"
	// maxLinkDelay is the longest delay that a link adds.
	maxLinkDelay = 100 * time.Millisecond
	// outDuration is how long a failure domain that was taken out is observed.
	outDuration = 2 * time.Second
	// recoveryTimeout is how soon after the last fault callers must be served as before.
	recoveryTimeout = 10 * time.Second
)

// soakInt returns an integer from the environment, or defaultValue.
func soakInt(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// siteSoak is a running soak of a site.
type siteSoak struct {
	*groupSite
	seed uint64
	// serverLinks are between the gateways and each backend server, storeLinks between each gateway
	// and the store.
	serverLinks, storeLinks []*harness.Forwarder
	pushes                  *pushLedger
	statements              *serverStatements
	malformed               *malformedServers
	prompts                 *crashingPrompts
	// retries counts the streams that callers ask for, and those that engines run again.
	retries *retryMeter
	// arrivals holds the arrival times of each backend server that is treated as cold, by its ID.
	arrivals  map[string]*arrivalTimes
	startedAt time.Time
	stop      chan struct{}
	callers   sync.WaitGroup

	mu         sync.Mutex
	version    int64
	history    *history.History
	outcomes   map[string]outcome
	attemptIDs map[string][]string
	// drafts and pushed count the requests that were served whole.
	drafts, pushed int
	// cut are the drafts that were sent and not served whole.
	cut []streamResult
	// missingRetryAfter counts the refusals without Retry-After.
	missingRetryAfter int
	faultCounts       map[string]int
}

// startSiteSoak starts a site whose backend servers and store are reached through links.
func startSiteSoak(t *testing.T, seed uint64, gateways, engines int) *siteSoak {
	t.Helper()
	s := &siteSoak{
		seed: seed, pushes: &pushLedger{runs: make(map[string]int), rng: rand.New(rand.NewPCG(seed, 1))},
		statements: newServerStatements(), malformed: &malformedServers{responses: make(map[string]malformed.Response)}, retries: newRetryMeter(),
		arrivals: make(map[string]*arrivalTimes), startedAt: time.Now(), stop: make(chan struct{}),
		outcomes: make(map[string]outcome), attemptIDs: make(map[string][]string), faultCounts: make(map[string]int),
		history: &history.History{},
	}
	for _, domain := range domains {
		s.arrivals["i-"+domain] = &arrivalTimes{}
	}
	linkTo := func(links *[]*harness.Forwarder) func(string) string {
		return func(target string) string {
			link := harness.NewForwarder(t, target)
			*links = append(*links, link)
			return link.Address
		}
	}
	s.groupSite = &groupSite{site: startSiteWith(t, siteSpec{
		gateways: gateways, answer: s.answer, serverLink: linkTo(&s.serverLinks), storeLink: linkTo(&s.storeLinks),
	})}
	s.startGroup(fakeplatform.GroupShape{Ranks: engines, Experts: 4 * engines, Places: 6, Spare: 2, PopularityShiftPasses: 120}, seed)
	s.version = 1
	s.configure()
	var addresses []string
	for _, engine := range s.group.EngineAddresses {
		host, _, err := net.SplitHostPort(engine)
		if err != nil {
			t.Fatal(err)
		}
		link := harness.NewForwarderAt(t, net.JoinHostPort(host, portEngineLink), engine)
		s.serverLinks = append(s.serverLinks, link)
		addresses = append(addresses, link.Address)
	}
	s.store.RegisterEngines(addresses, "drafts", domains)
	s.prompts = newCrashingPrompts(s, s.serverLinks[len(s.serverLinks)-engines:])
	waitFor(t, "the group runs with a first map of the coordinator", func() bool { return s.group.State().Version != 0 })
	for _, a := range s.arrivals {
		a.clear()
	}
	return s
}

// portEngineLink is the port on the engine's VM at which the link to the engine listens.
const portEngineLink = "9001"

// configure publishes the next configuration.
func (s *siteSoak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	routes := fakeplatform.Routes()
	for i := range routes {
		if routes[i].Name == "draft" {
			routes[i].Service, routes[i].MaxPauseMs = "drafts", float64(slowEnginePause.Milliseconds())
		}
	}
	services := []fakeplatform.Service{
		{Name: "app", HealthPath: "/healthz", ColdPerS: coldRate, ColdStartS: 60},
		s.group.EngineService("drafts"),
	}
	called := time.Since(s.startedAt)
	s.store.ConfigureServices(int(s.version), services, routes, fakeplatform.CallerKey)
	s.history.Publishes = append(s.history.Publishes, history.Publish{
		Call: called, Return: time.Since(s.startedAt), Base: s.previousVersion(), Outcome: history.Accepted, Offset: s.version,
	})
}

// previousVersion is the version before the newest, or NeverPublished for the first one recorded.
func (s *siteSoak) previousVersion() int64 {
	if len(s.history.Publishes) == 0 {
		return history.NeverPublished
	}
	return s.version - 1
}

// watchConfigurations records which configuration each gateway uses.
func (s *siteSoak) watchConfigurations() {
	for i, g := range s.gateways {
		last := 0
		s.callers.Go(func() {
			for !isClosed(s.stop) {
				called := time.Since(s.startedAt)
				state, err := g.state()
				s.mu.Lock()
				// The version before the soak's first is not in its history.
				if err == nil && state.Config > 1 {
					last = appendRead(s.history, history.Read{Process: i, Call: called, Return: time.Since(s.startedAt), Offset: state.Config}, last)
				}
				s.mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// soakSite runs the soak with one seed.
func soakSite(t *testing.T, seed uint64, duration time.Duration) {
	const injectors, callers = 2, 16
	s := startSiteSoak(t, seed, soakInt(t, soakGatewaysEnv, 3), soakInt(t, soakEnginesEnv, 4))
	stalls := startStallMonitor()
	s.watchConfigurations()
	for i := range callers {
		s.callers.Go(func() {
			if i < callers/2 {
				s.readDrafts(i)
			} else {
				s.sendPushes(i)
			}
		})
	}
	s.callers.Go(s.sendCrashingDrafts)
	var wg sync.WaitGroup
	for _, b := range s.faultInjectors(injectors) {
		wg.Go(func() { b.injectFor(duration) })
	}
	wg.Wait()
	calmSince := time.Now()
	s.waitForService()
	s.checkStopAndDomainOut()
	s.checkStatements()
	s.checkCrashingPrompts(calmSince)
	close(s.stop)
	s.callers.Wait()
	s.check(stalls.finish())
}

// All peers of a gateway fail at any moment, in overlapping series of faults in an order set by the
// seed, while callers stream and push, half of them over connections that they keep until the
// gateway is gone. No push may run twice, each "not run" must be true, each stream must be a prefix
// of the caller's own and a complete one whole, no pass may have two maps, no cold server may get
// more than its limit, no gateway may return to an older configuration, and each refusal must have
// a Retry-After. Callers must be served soon after the faults, while requests come that end the engine
// which begins to answer them. A graceful shutdown must then cut
// nothing, and a failure domain that is taken out must get no new requests.
func TestSiteSoak(t *testing.T) {
	t.Parallel()
	duration := shortSoakDuration
	if text := os.Getenv(soakDurationEnv); text != "" {
		var err error
		if duration, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	first := soakInt(t, soakSeedEnv, 1)
	for seed := first; seed < first+soakInt(t, soakSeedsEnv, 1); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soakSite(t, uint64(seed), duration)
		})
	}
}
