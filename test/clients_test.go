package test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/harness"
)

const (
	// crowdClients is the number of clients that do not behave, more than a process may have descriptors.
	crowdClients = 700
	// crowdTime is how long they go on at least, crowdTimeout how long at most.
	crowdTime    = 3 * time.Second
	crowdTimeout = 30 * time.Second
	// maxReconnects limits the connections of one client.
	maxReconnects = 5000

	// crowdMemoryMB and crowdDescriptors are the limits of the machine.
	crowdMemoryMB    = 96
	crowdDescriptors = 600
	// crowdHeapLimit is the memory of the runtime of a process without the platform's settings.
	crowdHeapLimit = "GOMEMLIMIT=67000000"
)

// crowdListener is a listener of a process that a crowd connects to.
type crowdListener struct {
	name, address string
	// request, post and long are those of a rudeClient.
	request, post string
	long          []string
	// ask sends one ordinary request.
	ask func() error
}

// crowdedProcess is a process with its listeners.
type crowdedProcess struct {
	t         *testing.T
	process   *harness.Process
	listeners []crowdListener
	// ordinary, if not nil, sends requests of ordinary callers until the context ends.
	ordinary func(context.Context)
}

// endure lets a crowd of some kinds connect to some listeners, and checks that the process lives, that its memory
// and descriptors stay within those of its machine, and that ordinary requests are answered meanwhile and
// afterwards.
func (p *crowdedProcess) endure(t *testing.T, listeners []crowdListener, kinds []clientKind) {
	t.Helper()
	var addresses []string
	for _, l := range p.listeners {
		addresses = append(addresses, l.address)
	}
	usage := harness.MonitorUsage(p.process, addresses...)
	ctx, cancel := context.WithTimeout(t.Context(), crowdTimeout)
	defer cancel()
	crowd := startCrowd(ctx, listeners, kinds)
	if p.ordinary != nil {
		crowd.Go(func() { p.ordinary(ctx) })
	}
	time.Sleep(crowdTime)
	var unanswered []string
	for _, l := range listeners {
		if err := askUntil(ctx, l); err != nil {
			unanswered = append(unanswered, fmt.Sprintf("%s: %v", l.name, err))
		}
	}
	cancel()
	crowd.Wait()
	peak := usage.Stop()
	t.Logf("%s: %d MB at the peak (resident %d MB, in sockets %d MB), %d descriptors, %d connections", t.Name(),
		peak.Memory/1e6, peak.Resident/1e6, peak.Queued/1e6, peak.Descriptors, crowd.connections.Load())
	select {
	case <-p.process.Ended():
		t.Fatalf("the process has ended: %s", p.process.Tail())
	default:
	}
	if peak.Memory > crowdMemoryMB*1e6 {
		t.Errorf("%d bytes of memory were used, the machine has %d", peak.Memory, int64(crowdMemoryMB*1e6))
	}
	if peak.Descriptors > crowdDescriptors {
		t.Errorf("%d descriptors were open, the machine has %d", peak.Descriptors, crowdDescriptors)
	}
	if len(unanswered) > 0 {
		t.Errorf("ordinary requests were not answered beside the crowd: %s", strings.Join(unanswered, "; "))
	}
	ctx, cancel = context.WithTimeout(t.Context(), crowdTimeout)
	defer cancel()
	for _, l := range p.listeners {
		if err := askUntil(ctx, l); err != nil {
			t.Errorf("%s does not answer after the crowd: %v", l.name, err)
		}
	}
}

// crowd is the clients that do not behave.
type crowd struct {
	sync.WaitGroup
	connections atomic.Int64
}

// startCrowd lets a crowd of some kinds connect to some listeners until the context ends.
func startCrowd(ctx context.Context, listeners []crowdListener, kinds []clientKind) *crowd {
	c := &crowd{}
	for n := range crowdClients {
		listener, kind := listeners[n%len(listeners)], kinds[n/len(listeners)%len(kinds)]
		c.Go(func() { c.connections.Add(int64(beRude(ctx, listener, kind, n))) })
	}
	return c
}

// askUntil sends ordinary requests until one is answered or the context ends.
func askUntil(ctx context.Context, l crowdListener) error {
	for {
		err := l.ask()
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// beRude plays a kind on one connection after another until the context ends, and returns their number.
func beRude(ctx context.Context, l crowdListener, kind clientKind, number int) int {
	connections := 0
	for ; connections < maxReconnects && ctx.Err() == nil; connections++ {
		conn, err := dialRudely(l.address, number)
		if err != nil {
			time.Sleep(trickleInterval)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
		_ = kind.play(&rudeClient{Conn: conn, request: l.request, post: l.post, long: l.long, number: number + connections})
		stop()
		_ = conn.Close()
	}
	return connections
}

// kindsFor returns the kinds that can be played at all of the listeners.
func kindsFor(listeners ...crowdListener) []clientKind {
	var kinds []clientKind
	for _, k := range clientKinds() {
		if !k.needsLongAnswers || len(listeners) == 1 && len(listeners[0].long) > 0 {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// playAll plays each kind alone at each listener, each time with a process of its own, and all kinds together at
// all listeners. The short suite plays those together.
func playAll(t *testing.T, listeners []string, start func(*testing.T) *crowdedProcess) {
	t.Helper()
	t.Run("all together", func(t *testing.T) {
		p := start(t)
		p.endure(t, p.listeners, kindsFor(p.listeners...))
	})
	if testing.Short() {
		return
	}
	for _, name := range listeners {
		for _, kind := range clientKinds() {
			t.Run(name+"/"+kind.name, func(t *testing.T) {
				p := start(t)
				l := p.listener(name)
				if kind.needsLongAnswers && len(l.long) == 0 {
					t.Skip("its answers are short")
				}
				p.endure(t, []crowdListener{l}, []clientKind{kind})
			})
		}
	}
}

func (p *crowdedProcess) listener(name string) crowdListener {
	for _, l := range p.listeners {
		if l.name == name {
			return l
		}
	}
	p.t.Fatalf("there is no listener %s", name)
	return crowdListener{}
}

// ordinaryClient sends each request on a connection of its own.
var ordinaryClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// getter returns a function that requests a path and wants a status.
func getter(address, path string, status int) func() error {
	return func() error {
		resp, err := ordinaryClient.Get("http://" + address + path)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != status {
			return errors.Errorf("status %d", resp.StatusCode)
		}
		return nil
	}
}

// getListener returns a listener whose requests are for one path.
func getListener(name, address, path, header string, status int) crowdListener {
	lines := " " + path + " HTTP/1.1\r\nHost: h.example\r\n" + header
	return crowdListener{name: name, address: address, request: "GET" + lines, post: "POST" + lines, ask: getter(address, path, status)}
}

var crowdMachine = fakeplatform.Machine{MemoryMB: crowdMemoryMB, FileDescriptors: crowdDescriptors}

// answerCrowd answers at length on paths that end so, after a while on others that end so, and else at once.
func answerCrowd(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
	path := s.Request.URL.Path
	event := fmt.Sprintf("data: %s\n\n", strings.Repeat("x", 4<<10))
	switch {
	case strings.HasPrefix(path, "/draft/") && strings.HasSuffix(path, "/long"):
		_, err := conn.Write([]byte(fakeplatform.StreamHead(s)))
		for n := 1; err == nil && n <= 1000; n++ {
			_, err = conn.Write([]byte(fakeplatform.Chunk(fmt.Sprintf("id: %d\n%s", n, event))))
		}
		return false
	case strings.HasSuffix(path, "/long"):
		_, err := conn.Write([]byte(fakeplatform.WholeResponse(s.ID(), strings.Repeat("x", 1<<20))))
		return err == nil
	case strings.HasSuffix(path, "/slow"):
		time.Sleep(time.Second)
	}
	return fakeplatform.Echo(s, conn)
}

// Guards against clients of a gateway that take its memory or descriptors, or keep ordinary callers out.
func TestGatewayEnduresClientsThatDoNotBehave(t *testing.T) {
	playAll(t, []string{"callers", "readiness", "directory", "admin", "entries"}, startCrowdedGateway)
}

func startCrowdedGateway(t *testing.T) *crowdedProcess {
	limits := fakeplatform.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000}
	s := startSiteWith(t, siteSpec{gateways: 1, answer: answerCrowd, machine: crowdMachine, limits: &limits})
	// The crowd has a team of its own, so that the shares of teams hold for ordinary callers.
	const crowdKey = "key-of-the-crowd"
	s.store.ConfigureTeams(2, []fakeplatform.Service{{Name: "app", HealthPath: "/healthz"}}, fakeplatform.Routes(), []fakeplatform.Team{
		{Name: "north", Keys: []string{fakeplatform.CallerKey}}, {Name: "crowd", Keys: []string{crowdKey}},
	})
	g := s.gateways[0]
	waitFor(t, "the team of the crowd is known", func() bool {
		state, err := g.state()
		return err == nil && state.Config == 2
	})
	address := func(port string) string { return net.JoinHostPort(g.ip, port) }
	lines := "Host: h.example\r\nApi-Key: " + crowdKey + "\r\nAttempt-Id: rude\r\nDeadline-Ms: 20000\r\n"
	sent := 0
	callers := crowdListener{
		name: "callers", address: address(fakeplatform.PortCallers),
		request: "GET /look/slow HTTP/1.1\r\n" + lines, post: "POST /push/x HTTP/1.1\r\n" + lines,
		long: []string{"GET /look/long HTTP/1.1\r\n" + lines + "\r\n", "GET /draft/long HTTP/1.1\r\n" + lines + "\r\n"},
		ask: func() error {
			sent++
			if status := fakeplatform.Send(ordinaryClient, g.ip, "/look/x", fmt.Sprint("ordinary-", sent)); status != http.StatusOK {
				return errors.Errorf("status %d", status)
			}
			return nil
		},
	}
	pushes := &pushCaller{t: t, site: s}
	t.Cleanup(pushes.check)
	return &crowdedProcess{t: t, process: g.Process, ordinary: pushes.run, listeners: []crowdListener{
		callers,
		getListener("readiness", address(fakeplatform.PortReadiness), "/apricothub/readyz", "", http.StatusOK),
		getListener("directory", address(fakeplatform.PortDirectory), "/apricothub/resolve?name=h.example", "", http.StatusOK),
		getListener("admin", address(fakeplatform.PortAdmin), "/debug/state", "", http.StatusOK),
		getListener("entries", address(fmt.Sprint(fakeplatform.PortPeers)), "/state?operators=0&servers=0", "", http.StatusOK),
	}}
}

// pushCaller sends requests that may run once, and checks that those that were refused did not run.
type pushCaller struct {
	t       *testing.T
	site    *site
	refused []string
}

func (c *pushCaller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprint("push-", n)
		switch fakeplatform.Send(ordinaryClient, c.site.gateways[0].ip, "/push/x", id) {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			c.refused = append(c.refused, id)
		}
		time.Sleep(trickleInterval)
	}
}

func (c *pushCaller) check() {
	ran := make(map[string]bool)
	for _, server := range c.site.servers {
		for _, r := range server.Requests() {
			ran[r.ID()] = true
		}
	}
	for _, id := range c.refused {
		if ran[id] {
			c.t.Errorf("%s was refused and ran", id)
		}
	}
}

// Guards against clients of a rank agent that take its memory or descriptors.
func TestRankAgentEnduresClientsThatDoNotBehave(t *testing.T) {
	playAll(t, []string{"ranks"}, func(t *testing.T) *crowdedProcess {
		dir, store := harness.NewDir(t, "crowd"), fakeplatform.NewStore(t)
		group := fakeplatform.NewGroup(t, fakeplatform.GroupShape{Ranks: 1, Experts: 4, Places: 4, Spare: 2, PopularityShiftPasses: 120}, 1)
		settings := fakeplatform.RankAgent{VM: "side-1", FailureDomain: "a", Engine: group.EngineAddresses[0], Store: store.Address(), Machine: crowdMachine}
		p := harness.StartWithEnv(t, []string{settings.WriteSettings(t, dir)}, dir, "side-1", binDir+"/apricothub", "rank-agent")
		host, _, _ := net.SplitHostPort(group.EngineAddresses[0])
		l := getListener("ranks", net.JoinHostPort(host, fmt.Sprint(fakeplatform.PortPeers)), ranks.AlivePath, "", http.StatusNoContent)
		l.post = "POST " + ranks.RequestPath + " HTTP/1.1\r\nHost: h.example\r\n"
		harness.Eventually(t, siteTimeout, "the rank agent answers", l.ask)
		return &crowdedProcess{t: t, process: p, listeners: []crowdListener{l}}
	})
}

// startCrowdedCluster starts entries and agents with the limits of a small machine.
func startCrowdedCluster(t *testing.T) *harness.Cluster {
	env := []string{crowdHeapLimit}
	return startCluster(t, harness.Spec{Entries: 2, Engines: 1, Services: 1, EntryEnv: env, AgentEnv: env, Descriptors: crowdDescriptors})
}

// completer returns a function that asks for a completion.
func completer(t *testing.T, c *harness.Cluster, entry int) func() error {
	caller := harness.NewCaller(harness.Key)
	return func() error {
		prompt := harness.Prompt{Text: "ordinary", Seed: 1, Tokens: 1}
		text, reply, err := caller.Complete(t.Context(), c.Entries[entry].Public, prompt)
		if err == nil && text != prompt.Want() {
			err = errors.Errorf("status %d, %s", reply.Status, reply.Message)
		}
		return err
	}
}

// relinker returns a function that starts the first entry anew and waits until it is linked to all agents and
// to the second entry.
func relinker(c *harness.Cluster) func() error {
	return func() error {
		c.Entries[0].Kill()
		c.Entries[0].Restart()
		c.WaitReady(c.Entries[0])
		c.WaitLinked(c.Entries[0])
		return nil
	}
}

func adminListener(m *harness.Member) crowdListener {
	l := getListener("admin", m.Admin, "/ready", "Authorization: Bearer "+harness.AdminToken+"\r\n", 0)
	l.ask = m.Ready
	return l
}

func linkListener(m *harness.Member, c *harness.Cluster) crowdListener {
	l := getListener("links", m.Link, "/", "", 0)
	l.ask = relinker(c)
	return l
}

// Guards against clients of an entry that take its memory or descriptors, or keep ordinary callers out.
func TestEntryEnduresClientsThatDoNotBehave(t *testing.T) {
	playAll(t, []string{"callers", "admin", "links"}, startCrowdedEntry)
}

func startCrowdedEntry(t *testing.T) *crowdedProcess {
	c := startCrowdedCluster(t)
	m := c.Entries[1]
	lines := "Host: h.example\r\nAuthorization: Bearer " + harness.OtherKey + "\r\nApricothub-Deadline-Ms: 20000\r\n"
	long := func(stream bool) string {
		body := fmt.Sprintf(`{"model":%q,"prompt":"rude","seed":1,"max_tokens":20000,"stream":%t}`, harness.Model, stream)
		return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", lines, len(body), body)
	}
	return &crowdedProcess{t: t, process: m.Process, listeners: []crowdListener{
		{
			name: "callers", address: m.Public, request: "GET /v1/addresses HTTP/1.1\r\n" + lines,
			post: "POST /v1/completions HTTP/1.1\r\n" + lines, long: []string{long(false), long(true)}, ask: completer(t, c, 1),
		},
		adminListener(m), linkListener(m, c),
	}}
}

// Guards against clients of an agent that take its memory or descriptors, or keep entries from linking to it.
func TestAgentEnduresClientsThatDoNotBehave(t *testing.T) {
	playAll(t, []string{"admin", "links"}, func(t *testing.T) *crowdedProcess {
		c := startCrowdedCluster(t)
		m := c.EngineAgents()[0]
		return &crowdedProcess{t: t, process: m.Process, listeners: []crowdListener{adminListener(m), linkListener(m, c)}}
	})
}

// Guards against a planned stop that hangs or fails beside clients that do not behave.
func TestStopEndsBesideClientsThatDoNotBehave(t *testing.T) {
	skipIfShort(t)
	for name, start := range map[string]func(*testing.T) *crowdedProcess{"gateway": startCrowdedGateway, "entry": startCrowdedEntry} {
		t.Run(name, func(t *testing.T) {
			p := start(t)
			ctx, cancel := context.WithCancel(t.Context())
			crowd := startCrowd(ctx, p.listeners, kindsFor(p.listeners...))
			time.Sleep(crowdTime)
			if status := p.process.Terminate(); status != 0 {
				t.Errorf("the process ended with status %d", status)
			}
			cancel()
			crowd.Wait()
		})
	}
}
