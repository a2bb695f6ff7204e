package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/decide/shift"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/member"
)

// directory knows the backend servers this entry has links to: what they offer, how
// loaded they are, and the tickets they have granted. Traffic and the control
// goroutine share it under one lock.
type directory struct {
	mu      sync.Mutex
	table   *place.Table
	shifter *shift.Shifter
	minter  *ticket.Minter
	budget  place.RetryBudget
	peers   map[string]*member.Peer // agents by VM
	status  map[string]*api.BackendStatus
	heard   map[string]time.Duration
	steps   map[string]stepSeen // by group
	flying  map[string]int      // own requests in flight, by offer
	asked   map[string]time.Duration
	// made is when an offer was last made by any backend server.
	made map[string]time.Duration
	// lifetimes of the newest block, by agent's VM.
	lifetimes map[string]time.Duration
	view      *config.View
	// split names the models that splitModels finds.
	split map[string]bool
	links *links
	// peersMoved is closed and made anew at each change of the links or of what they say.
	peersMoved chan struct{}
	// usuals are handed to agents that replace others.
	usuals *usuals
}

// blockAskAfter is how long an answer to a request for tickets is waited for.
const blockAskAfter = 500 * time.Millisecond

// newDirectory returns a directory of all agents, or of a subset of them.
func newDirectory(subset bool) *directory {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &directory{
		table:     place.NewTable(rng, place.Config{TrustStaleReports: subset}),
		shifter:   shift.New(shift.Config{}),
		minter:    ticket.NewMinter(),
		peers:     make(map[string]*member.Peer),
		status:    make(map[string]*api.BackendStatus),
		heard:     make(map[string]time.Duration),
		steps:     make(map[string]stepSeen),
		flying:    make(map[string]int),
		asked:     make(map[string]time.Duration),
		made:      make(map[string]time.Duration),
		lifetimes: make(map[string]time.Duration),
		view:      config.NewFold().View(),
		links:     &links{}, // All agents get work.
		usuals:    newUsuals(),

		peersMoved: make(chan struct{}),
	}
}

func modelOffer(name string) string { return "model:" + name }

func serviceOffer(name string) string { return "service:" + name }

func adapterOffer(name string) string { return "adapter:" + name }

// offers lists the keys of what a backend server serves. A model is offered by its
// name and by name and version, so that a caller may ask for either.
func offers(s *api.BackendStatus) []string {
	if s.GetService() != "" {
		return []string{serviceOffer(s.GetService())}
	}
	keys := []string{modelOffer(s.GetModel())}
	if s.GetModelVersion() != "" {
		keys = append(keys, modelOffer(s.GetModel()+"@"+s.GetModelVersion()))
	}
	for _, adapter := range s.GetAdapters() {
		keys = append(keys, adapterOffer(adapter))
	}
	return keys
}

// setPeers takes the links that stand.
func (d *directory) setPeers(state *member.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	was := d.peers
	d.peers = make(map[string]*member.Peer)
	for vm, peer := range state.Peers {
		if peer.Hello.GetRole() == api.Role_ROLE_AGENT {
			d.peers[vm] = peer
		}
	}
	close(d.peersMoved)
	d.peersMoved = make(chan struct{})
	d.dropTickets(was)
	d.usuals.prune(clock.Now())
	for vm := range was {
		if _, ok := d.peers[vm]; !ok {
			delete(d.status, vm)
			delete(d.heard, vm)
			delete(d.lifetimes, vm)
		}
	}
	d.rebuild()
}

// complete says that every linked agent has reported: before that its backend server
// is not among those that may get work.
func (d *directory) complete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for vm := range d.peers {
		if d.status[vm] == nil {
			return false
		}
	}
	return true
}

// dropTickets lets go of the tickets of agents that are gone or were replaced. Minted
// from them, a request would end as "outcome unknown" though nobody ever sent it.
func (d *directory) dropTickets(was map[string]*member.Peer) {
	for vm, old := range was {
		now := d.peers[vm]
		if now == nil || now.Hello.GetIncarnation() != old.Hello.GetIncarnation() {
			d.minter.Drop(vm)
			delete(d.asked, vm)
		}
	}
}

// setView takes the marks of a new configuration. A domain taken out loses its
// weight at once here: its own agents refuse from the same moment on.
func (d *directory) setView(now time.Duration, view *config.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	was := d.view
	d.view = view
	for _, mark := range view.Marks() {
		if mark.GetTarget() != api.MarkTarget_TARGET_DOMAIN {
			continue
		}
		out := mark.GetOut()
		switch before := was.VMOutOfService("", mark.GetName()); {
		case out && !before:
			d.shifter.Leave(now, mark.GetName())
		case !out && before:
			d.shifter.Return(now, mark.GetName())
		}
	}
	d.rebuild()
}

// rebuild gives the table the backend servers that may get work.
func (d *directory) rebuild() {
	servers := make([]place.Server, 0, len(d.peers))
	for vm, peer := range d.peers {
		status := d.status[vm]
		if status == nil || peer.Draining || !d.links.forWork(vm) {
			continue
		}
		domain := peer.Hello.GetFailureDomain()
		weight := 1.0
		if d.view.VMOutOfService(vm, domain) {
			weight = 0
		}
		servers = append(servers, place.Server{VM: vm, Domain: domain, Offers: offers(status), Weight: weight})
	}
	d.table.SetServers(servers)
	d.split = splitModels(d.view, d.status)
}

// message takes what agents send on the control stream. It says whether a backend
// server now offers what it did not before, or takes work again: requests that waited
// for it go to the gate at once, and would be refused there for want of room.
func (d *directory) message(peer *member.Peer, m *api.Control) bool {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	vm := peer.Hello.GetVm()
	if now := d.peers[vm]; now == nil || now.Hello.GetIncarnation() != peer.Hello.GetIncarnation() {
		// An older process of the VM, paused and woken: what it says would be
		// taken for its successor's.
		return false
	}
	if block := m.GetBlock(); block != nil {
		if block.GetAgentVm() != vm {
			return false
		}
		d.minter.Add(now, block)
		d.lifetimes[block.GetAgentVm()] = time.Duration(block.GetLifetimeMs()) * time.Millisecond
		return false
	}
	status := m.GetStatus()
	if status == nil {
		return false
	}
	old := d.status[vm]
	d.status[vm] = status
	d.noteStep(now, status)
	d.heard[vm] = now
	if usual := d.usuals.note(now, peer, status); usual != nil {
		peer.Session.Post(&api.Control{Body: &api.Control_Usual{Usual: usual}})
	}
	changed := old == nil || !sameOffers(old, status)
	if changed {
		d.rebuild()
	}
	d.table.Report(vm, now, place.Report{
		Limit:     int(status.GetLimit()),
		FullLimit: int(status.GetFullLimit()),
		Running:   int(status.GetRunning()),
		Queued:    int(status.GetQueued()),
		WorkTime:  time.Duration(status.GetWorkUs()) * time.Microsecond,
		Refusing:  status.GetRefusing() != api.ResultCode_OK,
		Prefixes:  status.GetPrefixes(),
	})
	return changed || old.GetRefusing() != status.GetRefusing()
}

func sameOffers(a, b *api.BackendStatus) bool {
	x, y := offers(a), offers(b)
	if len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i] != y[i] {
			return false
		}
	}
	return true
}

// tick looks for silent links, moves the weights of domains that leave or return,
// and asks for tickets before they run out.
func (d *directory) tick(now time.Duration, state *member.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	domains := make(map[string]bool)
	for vm, peer := range d.peers {
		d.table.SetSuspect(vm, peer.Session.Suspect())
		domains[peer.Hello.GetFailureDomain()] = true
		// No ticket is minted from the blocks of an agent that gets no new work.
		if d.links.forWork(vm) {
			d.askForTickets(now, vm, peer)
		}
	}
	for domain := range domains {
		d.table.SetDomainWeight(domain, d.shifter.Weight(now, domain))
	}
}

// askForTickets asks an agent for a block of tickets when few are left, unless it was
// asked a moment ago. An agent that was never asked is asked at once: taken for asked at
// the process's start, it would leave an entry that has just started without any ticket.
func (d *directory) askForTickets(now time.Duration, vm string, peer *member.Peer) {
	asked, before := d.asked[vm]
	if !d.minter.NeedsBlock(now, vm) || before && now-asked < blockAskAfter {
		return
	}
	d.asked[vm] = now
	peer.Session.Post(&api.Control{Body: &api.Control_BlockRequest{BlockRequest: &api.BlockRequest{}}})
}

// pick chooses an agent for a request and counts it there.
func (d *directory) pick(req place.Request) (*member.Peer, api.ResultCode) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	vm, code := d.table.Pick(now, req)
	if code != api.ResultCode_OK {
		return nil, code
	}
	peer, ok := d.peers[vm]
	if !ok {
		return nil, api.ResultCode_NO_BACKEND
	}
	d.table.Started(vm, now)
	d.flying[req.Offer]++
	d.links.use(vm)
	return peer, api.ResultCode_OK
}

// started counts a request that goes to a given agent, such as one with a ticket.
func (d *directory) started(vm, offer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Started(vm, clock.Now())
	d.flying[offer]++
	d.links.use(vm)
}

// ended takes back the count of pick or started.
func (d *directory) ended(vm, offer string, outcome place.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	d.table.Ended(vm, now, outcome)
	d.links.done(now, vm)
	d.flying[offer]--
	if d.flying[offer] == 0 {
		// A caller may name any version.
		delete(d.flying, offer)
	}
}

// agent returns the link to an agent's VM.
func (d *directory) agent(vm string) (*member.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer, ok := d.peers[vm]
	return peer, ok
}

// draining says that the agent which a ticket names is stopping or leaving; false
// without a ticket.
func (d *directory) draining(t *api.Ticket) bool {
	if t == nil {
		return false
	}
	peer, ok := d.agent(t.GetAgentVm())
	return ok && peer.Draining
}

// untilDraining returns a context that also ends when the agent which a ticket names begins
// to stop; without a ticket, the context given.
//
// Load: pushes wait at the gate for room while the one agent that may run them stops.
// Harm prevented: they wait for longer than the agent lives, and its callers are left not
// knowing whether their pushes ran. Sent at once, they hear it from the agent itself.
func (d *directory) untilDraining(ctx context.Context, t *api.Ticket) (context.Context, context.CancelFunc) {
	if t == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			// Asked for before the look: a change between the two must not be missed.
			moved := d.moved()
			if d.draining(t) {
				cancel()
				return
			}
			select {
			case <-moved:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// moved returns a channel that is closed at the next change of the links.
func (d *directory) moved() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peersMoved
}

// known says whether any backend server offers the key.
func (d *directory) known(offer string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, capacity := d.table.Slots(offer, clock.Now())
	return capacity > 0
}

// offered says whether a backend server that is linked and in service offers the key,
// even if it may get no work at this moment, or that a link to one is on its way.
func (d *directory) offered(offer string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expected(offer)
}

// expected is offered with the lock held.
func (d *directory) expected(offer string) bool {
	for vm, status := range d.status {
		peer := d.peers[vm]
		if peer == nil || peer.Draining || !d.links.forWork(vm) || d.view.VMOutOfService(vm, peer.Hello.GetFailureDomain()) {
			continue
		}
		if slices.Contains(offers(status), offer) {
			return true
		}
	}
	return d.links.pending(offer, d.reported)
}

// mint makes a ticket of an agent for a customer.
func (d *directory) mint(vm, customer string) (*api.Ticket, bool) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peers[vm]
	if peer == nil {
		return nil, false
	}
	t, ok := d.minter.Mint(now, vm, customer)
	d.askForTickets(now, vm, peer)
	// A block that was on its way when its agent was replaced is of no use any more.
	return t, ok && t.GetIncarnation() == peer.Hello.GetIncarnation()
}

// lifetime is the time for which a ticket just minted is good at least: blocks are
// minted from in the first half of their lifetime.
func (d *directory) lifetime(t *api.Ticket) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lifetimes[t.GetAgentVm()] / 2
}

// firstAttempt and mayRetry keep the budget for second attempts.
func (d *directory) firstAttempt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.CountRequest()
}

func (d *directory) mayRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.SpendRetry()
}
