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

// directory keeps the state of the backend servers that this entry has links to: what they offer,
// how loaded they are, and the ticket blocks that they have granted. Request handlers and the
// control goroutine share it under one lock.
type directory struct {
	mu               sync.Mutex
	table            *place.Table
	shifter          *shift.Shifter
	minter           *ticket.Minter
	budget           place.RetryBudget
	peers            map[string]*member.Peer // agents by VM
	status           map[string]*api.BackendStatus
	lastReport       map[string]time.Duration
	lastSteps        map[string]observedStep // by group
	inFlight         map[string]int          // own requests in flight, by offer
	blockRequestedAt map[string]time.Duration
	// lastOffered is when each offer was last seen at any backend server.
	lastOffered map[string]time.Duration
	// ticketLifetimes are the lifetimes of the newest ticket blocks, by agent's VM.
	ticketLifetimes map[string]time.Duration
	view            *config.View
	// needsVersionOffer is the result of modelsNeedingVersionOffer.
	needsVersionOffer map[string]bool
	links             *linkChooser
	// peersChanged is closed and replaced at each change of the links or of their state.
	peersChanged chan struct{}
	// baselines are passed on to agents that replace others on the same VM.
	baselines *baselineCache
}

// blockRetryInterval is how long to wait for a requested ticket block before requesting it again.
const blockRetryInterval = 500 * time.Millisecond

// newDirectory returns a directory of all agents, or of a subset of them.
func newDirectory(subset bool) *directory {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &directory{
		table:            place.NewTable(rng, place.Config{TrustStaleReports: subset}),
		shifter:          shift.New(shift.Config{}),
		minter:           ticket.NewMinter(),
		peers:            make(map[string]*member.Peer),
		status:           make(map[string]*api.BackendStatus),
		lastReport:       make(map[string]time.Duration),
		lastSteps:        make(map[string]observedStep),
		inFlight:         make(map[string]int),
		blockRequestedAt: make(map[string]time.Duration),
		lastOffered:      make(map[string]time.Duration),
		ticketLifetimes:  make(map[string]time.Duration),
		view:             config.NewFold().View(),
		links:            &linkChooser{}, // All agents get work.
		baselines:        newBaselineCache(),

		peersChanged: make(chan struct{}),
	}
}

func modelOffer(name string) string { return "model:" + name }

func serviceOffer(name string) string { return "service:" + name }

func adapterOffer(name string) string { return "adapter:" + name }

// offers lists the offers of a backend server. A model is offered both by name and by name and
// version, so that a caller may ask for either.
func offers(s *api.BackendStatus) []string {
	if s.GetService() != "" {
		return []string{serviceOffer(s.GetService())}
	}
	names := []string{modelOffer(s.GetModel())}
	if s.GetModelVersion() != "" {
		names = append(names, modelOffer(s.GetModel()+"@"+s.GetModelVersion()))
	}
	for _, adapter := range s.GetAdapters() {
		names = append(names, adapterOffer(adapter))
	}
	return names
}

// setPeers sets the agents that this entry has links to.
func (d *directory) setPeers(state *member.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.peers
	d.peers = make(map[string]*member.Peer)
	for vm, peer := range state.Peers {
		if peer.Hello.GetRole() == api.Role_ROLE_AGENT {
			d.peers[vm] = peer
		}
	}
	close(d.peersChanged)
	d.peersChanged = make(chan struct{})
	d.dropStaleTickets(previous)
	d.baselines.removeExpired(clock.Now())
	for vm := range previous {
		if _, ok := d.peers[vm]; !ok {
			delete(d.status, vm)
			delete(d.lastReport, vm)
			delete(d.ticketLifetimes, vm)
		}
	}
	d.rebuildTable()
}

// allReported says whether every linked agent has reported. An agent gets no work before its first
// report.
func (d *directory) allReported() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for vm := range d.peers {
		if d.status[vm] == nil {
			return false
		}
	}
	return true
}

// dropStaleTickets drops the ticket blocks of agents that are gone or were replaced. With a ticket
// from such a block, a request would end as "outcome unknown" though it was never sent.
func (d *directory) dropStaleTickets(previous map[string]*member.Peer) {
	for vm, old := range previous {
		current := d.peers[vm]
		if current == nil || current.Hello.GetIncarnation() != old.Hello.GetIncarnation() {
			d.minter.Drop(vm)
			delete(d.blockRequestedAt, vm)
		}
	}
}

// setView applies the marks of a new configuration. A failure domain that is marked out loses its
// weight at once, because its own agents refuse work from the same moment on.
func (d *directory) setView(now time.Duration, view *config.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.view
	d.view = view
	for _, mark := range view.Marks() {
		if mark.GetTarget() != api.MarkTarget_TARGET_DOMAIN {
			continue
		}
		out := mark.GetOut()
		switch wasOut := previous.VMOutOfService("", mark.GetName()); {
		case out && !wasOut:
			d.shifter.Leave(now, mark.GetName())
		case !out && wasOut:
			d.shifter.Return(now, mark.GetName())
		}
	}
	d.rebuildTable()
}

// rebuildTable gives the placement table the backend servers that can get work. The lock is held.
func (d *directory) rebuildTable() {
	servers := make([]place.Server, 0, len(d.peers))
	for vm, peer := range d.peers {
		status := d.status[vm]
		if status == nil || peer.Draining || !d.links.canGetWork(vm) {
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
	d.needsVersionOffer = modelsNeedingVersionOffer(d.view, d.status)
}

// handleMessage handles an agent's message on the control stream. It returns true if a backend
// server has new offers or accepts work again: the gate must know its capacity at once, or it would
// refuse the requests that waited for it.
func (d *directory) handleMessage(peer *member.Peer, m *api.Control) bool {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	vm := peer.Hello.GetVm()
	if current := d.peers[vm]; current == nil || current.Hello.GetIncarnation() != peer.Hello.GetIncarnation() {
		// The message comes from an older process of the VM that was paused and has resumed. It
		// must not be taken for a message of the process that replaced it.
		return false
	}
	if block := m.GetBlock(); block != nil {
		if block.GetAgentVm() != vm {
			return false
		}
		d.minter.Add(now, block)
		d.ticketLifetimes[block.GetAgentVm()] = time.Duration(block.GetLifetimeMs()) * time.Millisecond
		return false
	}
	status := m.GetStatus()
	if status == nil {
		return false
	}
	old := d.status[vm]
	d.status[vm] = status
	d.recordStep(now, status)
	d.lastReport[vm] = now
	if baseline := d.baselines.exchange(now, peer, status); baseline != nil {
		peer.Session.Post(&api.Control{Body: &api.Control_Usual{Usual: baseline}})
	}
	changed := old == nil || !sameOffers(old, status)
	if changed {
		d.rebuildTable()
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

// tick marks silent links as suspect, shifts the weights of failure domains that leave or return,
// and requests ticket blocks before they run out.
func (d *directory) tick(now time.Duration, state *member.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	domains := make(map[string]bool)
	for vm, peer := range d.peers {
		d.table.SetSuspect(vm, peer.Session.Suspect())
		domains[peer.Hello.GetFailureDomain()] = true
		// No ticket is minted from the blocks of an agent that gets no new work.
		if d.links.canGetWork(vm) {
			d.requestTickets(now, vm, peer)
		}
	}
	for domain := range domains {
		d.table.SetDomainWeight(domain, d.shifter.Weight(now, domain))
	}
}

// requestTickets asks an agent for a ticket block when few tickets are left, unless it was asked
// within blockRetryInterval. An agent that is not in blockRequestedAt is asked at once: if it
// counted as asked at process start, an entry that has just started would have no tickets at first.
func (d *directory) requestTickets(now time.Duration, vm string, peer *member.Peer) {
	requestedAt, requested := d.blockRequestedAt[vm]
	if !d.minter.NeedsBlock(now, vm) || requested && now-requestedAt < blockRetryInterval {
		return
	}
	d.blockRequestedAt[vm] = now
	peer.Session.Post(&api.Control{Body: &api.Control_BlockRequest{BlockRequest: &api.BlockRequest{}}})
}

// pick selects an agent for a request and counts the request as in flight there.
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
	d.inFlight[req.Offer]++
	d.links.acquire(vm)
	return peer, api.ResultCode_OK
}

// recordStart counts a request as in flight at a given agent, such as the one that its ticket
// names.
func (d *directory) recordStart(vm, offer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Started(vm, clock.Now())
	d.inFlight[offer]++
	d.links.acquire(vm)
}

// recordEnd reverts the count of pick or recordStart and records the outcome.
func (d *directory) recordEnd(vm, offer string, outcome place.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	d.table.Ended(vm, now, outcome)
	d.links.release(now, vm)
	d.inFlight[offer]--
	if d.inFlight[offer] == 0 {
		// Callers may ask for any version, so unused offers must not stay in the map.
		delete(d.inFlight, offer)
	}
}

// agentPeer returns the link to an agent by its VM.
func (d *directory) agentPeer(vm string) (*member.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer, ok := d.peers[vm]
	return peer, ok
}

// agentDraining says whether the agent that a ticket names is shutting down; false without a
// ticket.
func (d *directory) agentDraining(t *api.Ticket) bool {
	if t == nil {
		return false
	}
	peer, ok := d.agentPeer(t.GetAgentVm())
	return ok && peer.Draining
}

// withAgentDraining returns a context that also ends when the agent that a ticket names starts to
// shut down. Without a ticket it returns the given context.
//
// Only that agent can run the request or say what became of it. A request that kept waiting at the
// gate for free slots could outlast the agent, and the caller would never learn whether its push
// ran.
func (d *directory) withAgentDraining(ctx context.Context, t *api.Ticket) (context.Context, context.CancelFunc) {
	if t == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			// The channel is obtained before the check so that a change in between is not missed.
			changed := d.peerChanges()
			if d.agentDraining(t) {
				cancel()
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// peerChanges returns a channel that is closed at the next change of the links.
func (d *directory) peerChanges() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peersChanged
}

// hasCapacity says whether any backend server can get work for the offer.
func (d *directory) hasCapacity(offer string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, capacity := d.table.Slots(offer, clock.Now())
	return capacity > 0
}

// expectsOffer says whether a linked backend server that is in service has the offer, even if it
// cannot get work at the moment, or a link to one is being made.
func (d *directory) expectsOffer(offer string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expectsOfferLocked(offer)
}

// expectsOfferLocked is expectsOffer with the lock held.
func (d *directory) expectsOfferLocked(offer string) bool {
	for vm, status := range d.status {
		peer := d.peers[vm]
		if peer == nil || peer.Draining || !d.links.canGetWork(vm) || d.view.VMOutOfService(vm, peer.Hello.GetFailureDomain()) {
			continue
		}
		if slices.Contains(offers(status), offer) {
			return true
		}
	}
	return d.links.isLinkPending(offer, d.noReportPending)
}

// mintTicket mints a ticket of an agent for a customer.
func (d *directory) mintTicket(vm, customer string) (*api.Ticket, bool) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peers[vm]
	if peer == nil {
		return nil, false
	}
	t, ok := d.minter.Mint(now, vm, customer)
	d.requestTickets(now, vm, peer)
	// The block may have been sent by a process of the agent that was replaced meanwhile.
	return t, ok && t.GetIncarnation() == peer.Hello.GetIncarnation()
}

// ticketLifetime is the least time for which a ticket just minted is valid: tickets are minted only
// in the first half of their block's lifetime.
func (d *directory) ticketLifetime(t *api.Ticket) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ticketLifetimes[t.GetAgentVm()] / 2
}

// countRequest and spendRetry maintain the retry budget.
func (d *directory) countRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.CountRequest()
}

func (d *directory) spendRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.SpendRetry()
}
