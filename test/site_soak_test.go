package test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/history"
	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/harness"
)

const (
	// soakSeeds is the environment variable with the number of seeds, from that of soakSeed on.
	soakSeeds = "APRICOTHUB_SOAK_SEEDS"
	// soakGateways and soakEngines are those with the size.
	soakGateways = "APRICOTHUB_SOAK_GATEWAYS"
	soakEngines  = "APRICOTHUB_SOAK_ENGINES"
	// longestDelay is how long a link holds back what is sent at most.
	longestDelay = 100 * time.Millisecond
	// outFor is for how long a failure domain that was taken out is watched.
	outFor = 2 * time.Second
	// backAgain is how long after the last fault callers are served as before.
	backAgain = 10 * time.Second
)

// soakNumber returns a number of the environment, or usual.
func soakNumber(t *testing.T, name string, usual int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// siteSoak is a running soak of a site.
type siteSoak struct {
	*mapSite
	seed uint64
	// links are between the gateways and each backend server, doors between each gateway and
	// the store.
	links, doors []*harness.Forwarder
	pushes       *pushLedger
	// arrived are the requests of each backend server that is taken as cold, by its ID.
	arrived map[string]*arrivalTimes
	began   time.Time
	stop    chan struct{}
	callers sync.WaitGroup

	mu      sync.Mutex
	version int64
	history *history.History
	told    map[string]outcome
	calls   map[string][]string
	// drafts and pushed count what was served whole.
	drafts, pushed int
	// cut are the drafts that were sent and not served so.
	cut []reading
	// untimed are refusals that do not say when to come back.
	untimed int
	counts  map[string]int
}

// breaker breaks things of its own, so that several can work beside each other.
type breaker struct {
	*siteSoak
	rng      *rand.Rand
	gateways []*gatewayProcess
	ranks    []int
	links    []*harness.Forwarder
	doors    []*harness.Forwarder
}

func (b *breaker) gateway() *gatewayProcess { return b.gateways[b.rng.IntN(len(b.gateways))] }

func (b *breaker) rank() int { return b.ranks[b.rng.IntN(len(b.ranks))] }

func (b *breaker) agent() *harness.Process { return b.agents[b.rank()] }

func (b *breaker) link() *harness.Forwarder { return b.links[b.rng.IntN(len(b.links))] }

func (b *breaker) door() *harness.Forwarder { return b.doors[b.rng.IntN(len(b.doors))] }

// wait waits for a moment: longer than the silence after which others take over, or shorter.
func (b *breaker) wait() { time.Sleep(time.Duration(50+b.rng.IntN(2500)) * time.Millisecond) }

func (b *breaker) kill(p *harness.Process) {
	p.Kill()
	p.Restart()
}

func (b *breaker) pause(p *harness.Process) {
	p.Pause()
	b.wait()
	p.Continue()
}

// replace stops a process by plan and starts it again. One that is paused by nobody ends with
// status 0.
func (b *breaker) replace(p *harness.Process) {
	if status := p.Terminate(); status != 0 {
		b.t.Errorf("seed %d: a planned stop ended with status %d", b.seed, status)
	}
	p.Restart()
}

// disturb breaks a link in one way for a moment.
func (b *breaker) disturb(link *harness.Forwarder, how func(*harness.Forwarder)) {
	how(link)
	b.wait()
	link.Unblock()
}

// siteFault breaks something and mends it.
type siteFault struct {
	name string
	run  func(*breaker)
}

var siteFaults = []siteFault{
	{"gateway killed", func(b *breaker) { b.kill(b.gateway().Process) }},
	{"gateway paused", func(b *breaker) { b.pause(b.gateway().Process) }},
	{"gateway stopped by plan", func(b *breaker) { b.replace(b.gateway().Process) }},
	{"gateway stopped by plan, then killed", func(b *breaker) {
		g := b.gateway()
		g.Signal(syscall.SIGTERM)
		b.wait()
		b.kill(g.Process)
	}},
	{"gateway told of changed settings", func(b *breaker) { b.gateway().Signal(syscall.SIGHUP) }},
	{"rank agent killed", func(b *breaker) { b.kill(b.agent()) }},
	{"rank agent paused", func(b *breaker) { b.pause(b.agent()) }},
	{"rank agent stopped by plan", func(b *breaker) { b.replace(b.agent()) }},
	{"VM beside an engine paused", func(b *breaker) {
		at := b.rank()
		b.group.PauseVM(at)
		b.pause(b.agents[at])
		b.group.ResumeVM(at)
	}},
	{"rank lost", func(b *breaker) { b.group.Crash(b.rank(), 300*time.Millisecond) }},
	{"orders lost and late", func(b *breaker) {
		b.group.SetOrderFaults(fakeplatform.OrderFaults{LostAnswers: 0.1, Delayed: 0.1, MaxDelay: 3 * time.Second})
		b.wait()
		b.group.SetOrderFaults(fakeplatform.OrderFaults{})
	}},
	{"link delayed", func(b *breaker) {
		link := b.link()
		link.Delay(longestDelay)
		b.wait()
		link.Delay(0)
	}},
	{"link reset", func(b *breaker) { b.link().Cut() }},
	{"link silent, new connections work", func(b *breaker) { b.link().Silence() }},
	{"link cut off", func(b *breaker) { b.disturb(b.link(), (*harness.Forwarder).Isolate) }},
	{"link cut one way", func(b *breaker) { b.disturb(b.link(), (*harness.Forwarder).Mute) }},
	{"link refused", func(b *breaker) { b.disturb(b.link(), (*harness.Forwarder).Block) }},
	{"store slow for one", func(b *breaker) {
		door := b.door()
		door.Delay(longestDelay)
		b.wait()
		door.Delay(0)
	}},
	{"store silent for one", func(b *breaker) { b.disturb(b.door(), (*harness.Forwarder).Isolate) }},
	{"store loses answers to one", func(b *breaker) { b.disturb(b.door(), (*harness.Forwarder).Mute) }},
	{"store turns one away", func(b *breaker) {
		g := b.gateway()
		g.door.Unavailable.Store(true)
		b.wait()
		g.door.Unavailable.Store(false)
	}},
	{"store away for all", func(b *breaker) {
		for _, g := range b.mapSite.gateways {
			g.door.Unavailable.Store(true)
		}
		b.wait()
		for _, g := range b.mapSite.gateways {
			g.door.Unavailable.Store(false)
		}
	}},
	{"store forgets its history", func(b *breaker) { b.store.Truncate() }},
	{"configuration changed", func(b *breaker) { b.configure() }},
	{"failure domain out and in", func(b *breaker) {
		key := "evacuate/" + domains[b.rng.IntN(len(domains))]
		b.store.Put("keyed.op", key, "{}")
		b.wait()
		b.store.Put("keyed.op", key, "")
	}},
}

// startSiteSoak starts a site whose backend servers and store are behind links, with callers.
func startSiteSoak(t *testing.T, seed uint64, gateways, engines int) *siteSoak {
	t.Helper()
	s := &siteSoak{
		seed: seed, pushes: &pushLedger{of: make(map[string]int), rng: rand.New(rand.NewPCG(seed, 1))},
		arrived: make(map[string]*arrivalTimes), began: time.Now(), stop: make(chan struct{}),
		told: make(map[string]outcome), calls: make(map[string][]string), counts: make(map[string]int),
		history: &history.History{},
	}
	for _, domain := range domains {
		s.arrived["i-"+domain] = &arrivalTimes{}
	}
	linkTo := func(links *[]*harness.Forwarder) func(string) string {
		return func(target string) string {
			link := harness.NewForwarder(t, target)
			*links = append(*links, link)
			return link.Address
		}
	}
	s.mapSite = &mapSite{site: startSiteAs(t, siteSpec{
		gateways: gateways, answer: s.answer, serverLink: linkTo(&s.links), doorLink: linkTo(&s.doors),
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
		s.links = append(s.links, link)
		addresses = append(addresses, link.Address)
	}
	s.store.RegisterEngines(addresses, "drafts", domains)
	waitFor(t, "a first map is coordinated", func() bool { return s.group.State().Version != 0 })
	for _, a := range s.arrived {
		a.clear()
	}
	return s
}

// portEngineLink is where the link before an engine listens, on the engine's VM.
const portEngineLink = "9001"

// answer is that of a plain backend server.
func (s *siteSoak) answer(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
	s.arrived[seen.Request.Header.Get("Target-Instance")].note(time.Since(s.began))
	return s.pushes.answer(seen, conn)
}

// configure publishes the next configuration.
func (s *siteSoak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	routes := fakeplatform.Routes()
	for i := range routes {
		if routes[i].Name == "draft" {
			routes[i].Service = "drafts"
		}
	}
	services := []fakeplatform.Service{
		{Name: "app", HealthPath: "/healthz", ColdPerS: coldRate, ColdStartS: 60},
		s.group.EngineService("drafts"),
	}
	called := time.Since(s.began)
	s.store.ConfigureServices(int(s.version), services, routes, fakeplatform.CallerKey)
	s.history.Publishes = append(s.history.Publishes, history.Publish{
		Call: called, Return: time.Since(s.began), Base: s.base(), Outcome: history.Accepted, Offset: s.version,
	})
}

// base is the version before the newest; none for the first one that is noted.
func (s *siteSoak) base() int64 {
	if len(s.history.Publishes) == 0 {
		return history.NeverPublished
	}
	return s.version - 1
}

// watchConfigurations notes which configuration each gateway goes by.
func (s *siteSoak) watchConfigurations() {
	for i, g := range s.gateways {
		last := 0
		s.callers.Go(func() {
			for !isClosed(s.stop) {
				called := time.Since(s.began)
				state, err := g.state()
				s.mu.Lock()
				// The one before the soak's first is not in its history.
				if err == nil && state.Config > 1 {
					last = noteRead(s.history, history.Read{Process: i, Call: called, Return: time.Since(s.began), Offset: state.Config}, last)
				}
				s.mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// pick returns where a caller connects: half of them stay at an entry as long as it takes their
// connection, whatever the directory says meanwhile.
func (s *siteSoak) pick(book *addressBook, last string, stays, failed bool) string {
	if stays && last != "" && !failed {
		return last
	}
	return book.pick()
}

// draft has a caller read streams, and checks that each is whole and its own.
func (s *siteSoak) draft(caller int) {
	book, at, failed := s.newBook(), "", false
	client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
	for n := 0; !isClosed(s.stop); n++ {
		at = s.pick(book, at, caller%2 == 0, failed)
		path := fmt.Sprintf("d%d-%d", caller, n)
		began := time.Now()
		got := readOnce(client, at, path)
		got.path, got.address, got.began, got.ended = path, at, began, time.Now()
		want := fakeplatform.EngineStream("/draft/" + path)
		if got.whole && got.text != want || !strings.HasPrefix(want, got.text) {
			s.t.Errorf("seed %d: draft %s, looks whole %v, is %q", s.seed, path, got.whole, got.text)
		}
		failed = !got.whole
		s.note(got)
		if failed {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (s *siteSoak) note(got reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case got.whole:
		s.drafts++
	case got.sent:
		s.cut = append(s.cut, got)
	}
	if got.refused && !got.comeBack {
		s.untimed++
	}
}

// reading is what came of a stream.
type reading struct {
	path         string
	address      string
	began, ended time.Time
	// failure is why it is not whole.
	failure string
	// text are the whole events that came; whole says that it looks whole.
	text  string
	whole bool
	// sent says that there was a connection to send the request on.
	sent bool
	// refused says that the request has not run, comeBack when to come back.
	refused, comeBack bool
}

// readOnce reads a stream through one gateway.
func readOnce(client *http.Client, address, path string) reading {
	req, err := fakeplatform.NewRequest(address, "/draft/"+path, path)
	if err != nil {
		return reading{}
	}
	resp, err := client.Do(req)
	if err != nil {
		var dial *net.OpError
		return reading{failure: err.Error(), sent: !errors.As(err, &dial) || dial.Op != "dial"}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return reading{text: string(body[:wholeEvents(body)]), whole: err == nil, sent: true, failure: fmt.Sprint(err)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return reading{failure: string(body), sent: true, refused: true, comeBack: resp.Header.Get("Retry-After") != ""}
	default:
		return reading{failure: string(body), sent: true}
	}
}

// push has a caller press pushes: again under a new id only when it was told that the push has
// not run.
func (s *siteSoak) push(caller int) {
	book, at, failed := s.newBook(), "", false
	client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
	for n := 0; !isClosed(s.stop); n++ {
		call := fmt.Sprintf("p%d-%d", caller, n)
		for again := range 6 {
			at = s.pick(book, at, caller%2 == 0, failed)
			id := fmt.Sprintf("%s.%d", call, again)
			o := s.pushes.press(s.t, client, at, id)
			failed = o != answered
			s.mu.Lock()
			s.told[id] = o
			s.calls[call] = append(s.calls[call], id)
			if o == answered {
				s.pushed++
			}
			s.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			if o != notRun {
				break
			}
		}
	}
}

// breakers are so many, each with a part of all that can be broken.
func (s *siteSoak) breakers(n int) []*breaker {
	all := make([]*breaker, n)
	for at := range all {
		b := &breaker{siteSoak: s, rng: rand.New(rand.NewPCG(s.seed, uint64(2+at)))}
		b.gateways = partOf(s.gateways, at, n)
		b.links = partOf(s.links, at, n)
		b.doors = partOf(s.doors, at, n)
		for rank := at; rank < len(s.agents); rank += n {
			b.ranks = append(b.ranks, rank)
		}
		all[at] = b
	}
	return all
}

// partOf is each n-th of all, from the one at a place on.
func partOf[T any](all []T, at, n int) []T {
	var part []T
	for ; at < len(all); at += n {
		part = append(part, all[at])
	}
	return part
}

// breakFor breaks things in series until a time has passed.
func (b *breaker) breakFor(lasts time.Duration) {
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		fault := siteFaults[b.rng.IntN(len(siteFaults))]
		b.mu.Lock()
		b.counts[fault.name]++
		b.mu.Unlock()
		fault.run(b)
		time.Sleep(time.Duration(b.rng.IntN(400)) * time.Millisecond)
	}
}

// served is how much callers got so far.
func (s *siteSoak) served() (drafts, pushed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drafts, s.pushed
}

// awaitService waits until callers are served as before the faults.
func (s *siteSoak) awaitService() {
	s.t.Helper()
	s.awaitLive()
	drafts, pushed := s.served()
	harness.Eventually(s.t, backAgain, fmt.Sprintf("seed %d: callers are served after the faults", s.seed), func() error {
		if d, p := s.served(); d < drafts+20 || p < pushed+20 {
			return errors.Errorf("%d drafts and %d pushes since", d-drafts, p-pushed)
		}
		return nil
	})
}

// awaitLive waits until all gateways go by the newest configuration and know each other.
func (s *siteSoak) awaitLive() {
	s.t.Helper()
	for _, g := range s.gateways {
		harness.Eventually(s.t, siteWait, fmt.Sprintf("seed %d: %s goes by all that is new", s.seed, g.vm), func() error {
			state, err := g.state()
			if err != nil {
				return err
			}
			if !state.Ready || state.Config != s.version || state.Entries != len(s.gateways) {
				return errors.Errorf("it knows %+v", state)
			}
			return nil
		})
	}
}

// calm checks, with no fault about, that a planned stop cuts no stream, and that a failure domain
// that is taken out gets nothing new after a while.
func (s *siteSoak) calm() {
	s.t.Helper()
	began := time.Now()
	g := s.gateways[s.seed%uint64(len(s.gateways))]
	if status := g.Terminate(); status != 0 {
		s.t.Errorf("seed %d: a planned stop ended with status %d", s.seed, status)
	}
	g.Restart()
	s.awaitLive()
	s.mu.Lock()
	for _, cut := range s.cut {
		if cut.began.After(began) {
			s.t.Errorf("seed %d: draft %s at %s, begun %v after the stop of %s, ended after %d bytes: %s",
				s.seed, cut.path, cut.address, cut.began.Sub(began), g.ip, len(cut.text), cut.failure)
		} else if cut.ended.After(began) {
			s.t.Logf("seed %d: draft %s at %s, begun %v before the stop, ended %v after it, after %d bytes: %s",
				s.seed, cut.path, cut.address, began.Sub(cut.began), cut.ended.Sub(began), len(cut.text), cut.failure)
		}
	}
	s.mu.Unlock()
	out := int(s.seed) % len(domains)
	s.store.Put("keyed.op", "evacuate/"+domains[out], "{}")
	time.Sleep(heardOf)
	quiet := time.Now()
	time.Sleep(outFor)
	for _, run := range s.group.Runs() {
		if run.Rank%len(domains) == out && run.StartedAt.After(quiet) {
			s.t.Errorf("seed %d: the engine of rank %d got request %s in a domain that is out", s.seed, run.Rank, run.Request)
		}
	}
	if last := s.arrived["i-"+domains[out]].last(); last > quiet.Sub(s.began) {
		s.t.Errorf("seed %d: a backend server got a request %v after its domain had to be left", s.seed, last-quiet.Sub(s.began))
	}
	s.store.Put("keyed.op", "evacuate/"+domains[out], "")
}

// check compares what callers and backend servers saw with what is promised.
func (s *siteSoak) check(stalls time.Duration) {
	s.t.Helper()
	checkRuns(s.t, s.pushes, s.told, s.calls)
	for _, fault := range s.group.State().Faults {
		s.t.Errorf("seed %d: %s", s.seed, fault)
	}
	if err := s.history.Check(heardOf+contact, time.Minute); err != nil {
		s.t.Errorf("seed %d: %v", s.seed, err)
	}
	if s.untimed > 0 {
		s.t.Errorf("seed %d: %d refusals do not say when to come back", s.seed, s.untimed)
	}
	window := time.Second - stalls - longestDelay
	for id, a := range s.arrived {
		if most, at := a.busiest(window); most > coldMost {
			s.t.Errorf("seed %d: %s got %d requests within a second from %s on, %v at most", s.seed, id, most, at.Round(time.Millisecond), coldMost)
		}
	}
	state := s.group.State()
	s.t.Logf("seed %d: %d drafts and %d pushes served, %d passes, %d versions of maps, faults %v",
		s.seed, s.drafts, s.pushed, state.Passes, state.Versions, s.counts)
}

// soakSite runs the soak with one seed.
func soakSite(t *testing.T, seed uint64, lasts time.Duration) {
	const breakers, callers = 2, 16
	s := startSiteSoak(t, seed, soakNumber(t, soakGateways, 3), soakNumber(t, soakEngines, 4))
	stalls := watchStalls()
	s.watchConfigurations()
	for i := range callers {
		s.callers.Go(func() {
			if i < callers/2 {
				s.draft(i)
			} else {
				s.push(i)
			}
		})
	}
	var breaking sync.WaitGroup
	for _, b := range s.breakers(breakers) {
		breaking.Go(func() { b.breakFor(lasts) })
	}
	breaking.Wait()
	s.awaitService()
	s.calm()
	close(s.stop)
	s.callers.Wait()
	s.check(stalls.end())
}

// All that an entry talks to fails at any moment, in series that overlap and in an order that the
// seed gives, while callers stream and press, half of them over connections that they keep until
// the entry is gone. No push runs twice, each "not run" is true, each stream is the beginning of
// the caller's own and a whole one is whole, no pass has two maps, no server that bears little
// gets more, no gateway goes back to an older configuration, each refusal says when to come back;
// and callers are served soon after. A planned stop then cuts nothing, and a domain that is taken
// out is left alone.
func TestSiteSoak(t *testing.T) {
	t.Parallel()
	lasts := shortSoak
	if text := os.Getenv(soakTime); text != "" {
		var err error
		if lasts, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	first := soakNumber(t, soakSeed, 1)
	for seed := first; seed < first+soakNumber(t, soakSeeds, 1); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soakSite(t, uint64(seed), lasts)
		})
	}
}
