package test

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/harness"
)

// faultInjector injects faults into its own part of the site, so that several can run at once.
type faultInjector struct {
	*siteSoak
	rng         *rand.Rand
	gateways    []*gatewayProcess
	ranks       []int
	serverLinks []*harness.Forwarder
	storeLinks  []*harness.Forwarder
}

func (b *faultInjector) randomGateway() *gatewayProcess {
	return b.gateways[b.rng.IntN(len(b.gateways))]
}

func (b *faultInjector) randomRank() int { return b.ranks[b.rng.IntN(len(b.ranks))] }

func (b *faultInjector) randomAgent() *harness.Process { return b.agents[b.randomRank()] }

func (b *faultInjector) randomServerLink() *harness.Forwarder {
	return b.serverLinks[b.rng.IntN(len(b.serverLinks))]
}

func (b *faultInjector) randomStoreLink() *harness.Forwarder {
	return b.storeLinks[b.rng.IntN(len(b.storeLinks))]
}

// sleepRandomly sleeps for longer or shorter than the silence after which others take over.
func (b *faultInjector) sleepRandomly() {
	time.Sleep(time.Duration(50+b.rng.IntN(2500)) * time.Millisecond)
}

func (b *faultInjector) killAndRestart(p *harness.Process) {
	p.Kill()
	p.Restart()
}

func (b *faultInjector) pauseAndContinue(p *harness.Process) {
	p.Pause()
	b.sleepRandomly()
	p.Continue()
}

// restartGracefully stops a process gracefully and starts it again. A process that is not paused
// must exit with status 0.
func (b *faultInjector) restartGracefully(p *harness.Process) {
	if status := p.Terminate(); status != 0 {
		b.t.Errorf("seed %d: a graceful shutdown ended with status %d", b.seed, status)
	}
	p.Restart()
}

// disturbLink blocks a link in one way for a moment.
func (b *faultInjector) disturbLink(link *harness.Forwarder, block func(*harness.Forwarder)) {
	block(link)
	b.sleepRandomly()
	link.Unblock()
}

// siteFault injects a fault and then repairs it.
type siteFault struct {
	name string
	run  func(*faultInjector)
}

var siteFaults = []siteFault{
	{"gateway killed", func(b *faultInjector) { b.killAndRestart(b.randomGateway().Process) }},
	{"gateway paused", func(b *faultInjector) { b.pauseAndContinue(b.randomGateway().Process) }},
	{"gateway stopped by plan", func(b *faultInjector) { b.restartGracefully(b.randomGateway().Process) }},
	{"gateway stopped by plan, then killed", func(b *faultInjector) {
		g := b.randomGateway()
		g.Signal(syscall.SIGTERM)
		b.sleepRandomly()
		b.killAndRestart(g.Process)
	}},
	{"gateway told of changed settings", func(b *faultInjector) { b.randomGateway().Signal(syscall.SIGHUP) }},
	{"rank agent killed", func(b *faultInjector) { b.killAndRestart(b.randomAgent()) }},
	{"rank agent paused", func(b *faultInjector) { b.pauseAndContinue(b.randomAgent()) }},
	{"rank agent stopped by plan", func(b *faultInjector) { b.restartGracefully(b.randomAgent()) }},
	{"VM beside an engine paused", func(b *faultInjector) {
		rank := b.randomRank()
		b.group.PauseVM(rank)
		b.pauseAndContinue(b.agents[rank])
		b.group.ResumeVM(rank)
	}},
	{"engine slow", func(b *faultInjector) {
		rank := b.randomRank()
		b.group.SetPace(rank, slowPace)
		b.sleepRandomly()
		b.group.SetPace(rank, 1)
	}},
	{"engine slow and fast by turns", func(b *faultInjector) {
		rank := b.randomRank()
		for range 3 {
			b.group.SetPace(rank, slowPace)
			time.Sleep(400 * time.Millisecond)
			b.group.SetPace(rank, 1)
			time.Sleep(400 * time.Millisecond)
		}
	}},
	{"rank lost", func(b *faultInjector) { b.group.Crash(b.randomRank(), 300*time.Millisecond) }},
	{"orders lost and late", func(b *faultInjector) {
		b.group.SetOrderFaults(fakeplatform.OrderFaults{LostAnswers: 0.1, Delayed: 0.1, MaxDelay: 3 * time.Second})
		b.sleepRandomly()
		b.group.SetOrderFaults(fakeplatform.OrderFaults{})
	}},
	{"link delayed", func(b *faultInjector) {
		link := b.randomServerLink()
		link.Delay(maxLinkDelay)
		b.sleepRandomly()
		link.Delay(0)
	}},
	{"link reset", func(b *faultInjector) { b.randomServerLink().Cut() }},
	{"link silent, new connections work", func(b *faultInjector) { b.randomServerLink().Silence() }},
	{"link cut off", func(b *faultInjector) { b.disturbLink(b.randomServerLink(), (*harness.Forwarder).Isolate) }},
	{"link cut one way", func(b *faultInjector) { b.disturbLink(b.randomServerLink(), (*harness.Forwarder).Mute) }},
	{"link refused", func(b *faultInjector) { b.disturbLink(b.randomServerLink(), (*harness.Forwarder).Block) }},
	{"store slow for one", func(b *faultInjector) {
		link := b.randomStoreLink()
		link.Delay(maxLinkDelay)
		b.sleepRandomly()
		link.Delay(0)
	}},
	{"store silent for one", func(b *faultInjector) { b.disturbLink(b.randomStoreLink(), (*harness.Forwarder).Isolate) }},
	{"store loses answers to one", func(b *faultInjector) { b.disturbLink(b.randomStoreLink(), (*harness.Forwarder).Mute) }},
	{"store turns one away", func(b *faultInjector) {
		g := b.randomGateway()
		g.storeEndpoint.Unavailable.Store(true)
		b.sleepRandomly()
		g.storeEndpoint.Unavailable.Store(false)
	}},
	{"store away for all", func(b *faultInjector) {
		for _, g := range b.groupSite.gateways {
			g.storeEndpoint.Unavailable.Store(true)
		}
		b.sleepRandomly()
		for _, g := range b.groupSite.gateways {
			g.storeEndpoint.Unavailable.Store(false)
		}
	}},
	{"store forgets its history", func(b *faultInjector) { b.store.Truncate() }},
	{"configuration changed", func(b *faultInjector) { b.configure() }},
	{"failure domain out and in", func(b *faultInjector) {
		key := "evacuate/" + domains[b.rng.IntN(len(domains))]
		b.store.Put("keyed.op", key, "{}")
		b.sleepRandomly()
		b.store.Put("keyed.op", key, "")
	}},
}

// faultInjectors returns n fault injectors, each with its part of all processes and links.
func (s *siteSoak) faultInjectors(n int) []*faultInjector {
	all := make([]*faultInjector, n)
	for index := range all {
		b := &faultInjector{siteSoak: s, rng: rand.New(rand.NewPCG(s.seed, uint64(2+index)))}
		b.gateways = everyNth(s.gateways, index, n)
		b.serverLinks = everyNth(s.serverLinks, index, n)
		b.storeLinks = everyNth(s.storeLinks, index, n)
		for rank := index; rank < len(s.agents); rank += n {
			b.ranks = append(b.ranks, rank)
		}
		all[index] = b
	}
	return all
}

// everyNth returns every n-th element, starting with index first.
func everyNth[T any](all []T, first, n int) []T {
	var part []T
	for ; first < len(all); first += n {
		part = append(part, all[first])
	}
	return part
}

// injectFor injects one fault after another for a duration.
func (b *faultInjector) injectFor(duration time.Duration) {
	all := slices.Concat(siteFaults, statementFaults, malformedFaults)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		fault := all[b.rng.IntN(len(all))]
		b.mu.Lock()
		b.faultCounts[fault.name]++
		b.mu.Unlock()
		fault.run(b)
		time.Sleep(time.Duration(b.rng.IntN(400)) * time.Millisecond)
	}
}
