package entry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/subset"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/platform"
)

const (
	// maxSpareLinks bounds the links for which the subset has no use: those dialled for a
	// ticket or an answer at another agent, and those that have left the subset. It is
	// about as many as the subset has at the size to design for, so that a store that
	// comes back through other entries finds room, and a flood of such requests doubles
	// an entry's links at most.
	maxSpareLinks = 64
	// spareIdleTimeout is how long such a link is kept after its last use: callers ask again
	// within seconds.
	spareIdleTimeout = 10 * time.Second
	// unlinkedSpareTimeout is how long an agent is dialled on after the last request gave up
	// waiting for it.
	unlinkedSpareTimeout = time.Second
)

// linkChooser decides which agents this entry is linked to, and what for. With no number of
// agents per offer set it wants all of them, and does nothing else. Traffic and the
// control goroutine share it under one lock, which is taken inside the directory's.
type linkChooser struct {
	self           *api.Hello
	agentsPerOffer int
	spareRequests  metrics.Counter

	mu sync.Mutex
	// vms is the list of VMs that the choice was made from.
	vms       []platform.VM
	agents    map[string]platform.VM
	selectors map[string]*subset.LinkSelector
	// withoutOffer are agents of which the list does not say what they offer.
	withoutOffer map[string]bool
	wanted       map[string]bool
	// spare are the agents that are linked, or dialled, beside those wanted, with the
	// time of their last use.
	spare map[string]time.Duration
	// uses counts the requests at each agent, or waiting for the link to it.
	uses map[string]int
}

func newLinkChooser(self *api.Hello, agentsPerOffer int, registry metrics.Registry) *linkChooser {
	return &linkChooser{
		self:           self,
		agentsPerOffer: agentsPerOffer,
		spareRequests:  metrics.GetOrRegisterCounter("entry.links.spare", registry),
		agents:         make(map[string]platform.VM),
		selectors:      make(map[string]*subset.LinkSelector),
		wanted:         make(map[string]bool),
		spare:          make(map[string]time.Duration),
		uses:           make(map[string]int),
	}
}

// linksToAll says that this entry links to every agent.
func (l *linkChooser) linksToAll() bool { return l.agentsPerOffer == 0 }

// isWanted says that a link to an agent is to stand.
func (l *linkChooser) isWanted(vm string) bool {
	if l.linksToAll() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, spare := l.spare[vm]
	return spare || l.wanted[vm]
}

// canGetWork says that new work may go to an agent.
func (l *linkChooser) canGetWork(vm string) bool {
	if l.linksToAll() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted[vm]
}

// acquire counts a request at an agent, or one that waits for the link to it: until it is
// done the link is not dropped.
func (l *linkChooser) acquire(vm string) {
	if l.linksToAll() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uses[vm]++
}

// release takes back the count of use.
func (l *linkChooser) release(now time.Duration, vm string) {
	if l.linksToAll() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uses[vm]--
	if l.uses[vm] == 0 {
		delete(l.uses, vm)
	}
	if _, spare := l.spare[vm]; spare {
		l.spare[vm] = now
	}
}

// requestSpare asks for a link to an agent outside the subset, for a request that only that agent
// can answer. It returns true if the agent is to be dialled now; however many requests
// wait for one agent, it is asked for once. Past the bound the link that has been idle
// longest gives way; if none is idle the request waits on and may requestSpare again.
func (l *linkChooser) requestSpare(now time.Duration, vm string) bool {
	if l.linksToAll() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, requested := l.spare[vm]
	_, listed := l.agents[vm]
	if requested || l.wanted[vm] || !listed {
		return false
	}
	if len(l.spare) >= maxSpareLinks && !l.evictIdlest() {
		return false
	}
	l.spare[vm] = now
	l.spareRequests.Inc(1)
	return true
}

// evictIdlest lets go of the spare link that has been idle longest; the lock is held.
func (l *linkChooser) evictIdlest() bool {
	var oldest string
	for vm, lastUse := range l.spare {
		if l.uses[vm] == 0 && (oldest == "" || lastUse < l.spare[oldest]) {
			oldest = vm
		}
	}
	delete(l.spare, oldest)
	return oldest != ""
}

// setVMs takes the platform's setVMs, and chooses anew if it has changed.
func (l *linkChooser) setVMs(vms []platform.VM) {
	if l.linksToAll() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(vms, l.vms) {
		return
	}
	l.vms = vms
	l.agents = make(map[string]platform.VM)
	l.withoutOffer = make(map[string]bool)
	offers := make(map[string][]platform.VM)
	for _, vm := range vms {
		switch {
		case vm.Role != platform.RoleBackend:
			continue
		case vm.Offer == "":
			l.withoutOffer[vm.ID] = true
		case vm.State != platform.StateLeaving:
			offers[vm.Offer] = append(offers[vm.Offer], vm)
		}
		l.agents[vm.ID] = vm
	}
	l.selectAgents(offers)
}

// selectAgents takes the subset for each offer; the lock is held.
func (l *linkChooser) selectAgents(offers map[string][]platform.VM) {
	entries, region := l.regionEntries()
	for offer := range l.selectors {
		if offers[offer] == nil {
			delete(l.selectors, offer)
		}
	}
	for offer, agents := range offers {
		servers := inRegion(agents, region)
		chosen := subset.ForClient(l.self.GetVm(), entries, servers, l.agentsPerOffer)
		if l.selectors[offer] == nil {
			l.selectors[offer] = subset.NewLinkSelector()
		}
		l.selectors[offer].SetServers(chosen, subset.FallbackOrder(l.self.GetVm(), servers, chosen))
		// Wanted at once: with nothing wanted until the next tick, a process that has
		// just started would take itself for linked.
		for _, vm := range chosen {
			l.wanted[vm] = true
		}
	}
	for vm := range l.withoutOffer {
		l.wanted[vm] = true
	}
}

// regionEntries returns the regionEntries of this one's region, itself among them even before the
// list has it.
func (l *linkChooser) regionEntries() (entries []subset.Node, region string) {
	self := l.self.GetVm()
	listed := slices.IndexFunc(l.vms, func(vm platform.VM) bool { return vm.ID == self })
	if listed >= 0 {
		region = l.vms[listed].Region
	} else {
		entries = append(entries, subset.Node{Name: self, Domain: l.self.GetFailureDomain()})
	}
	for _, vm := range l.vms {
		if vm.Role == platform.RoleEntry && vm.Region == region {
			entries = append(entries, subset.Node{Name: vm.ID, Domain: vm.FailureDomain})
		}
	}
	return entries, region
}

// inRegion returns the agents of a region; all of them if it has none: far ones are
// better than none.
func inRegion(agents []platform.VM, region string) []subset.Node {
	var near, all []subset.Node
	for _, vm := range agents {
		node := subset.Node{Name: vm.ID, Domain: vm.FailureDomain}
		all = append(all, node)
		if vm.Region == region {
			near = append(near, node)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// tick decides anew which agents to link to. It returns those that are linked and not
// wanted any more at all, and whether those that may get work have changed. A link that
// leaves the subset gets no new work from now on and becomes a spare one, which is let go
// of when its work has ended: it cuts nothing.
func (l *linkChooser) tick(now time.Duration, linked map[string]bool, health func(vm string) subset.Health) (drop []string, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.wanted
	l.wanted = make(map[string]bool, len(previous))
	for vm := range l.withoutOffer {
		l.wanted[vm] = true
	}
	for _, selector := range l.selectors {
		for _, vm := range selector.Update(now, health) {
			l.wanted[vm] = true
		}
	}
	changed = len(previous) != len(l.wanted)
	for vm := range l.wanted {
		changed = changed || !previous[vm]
		delete(l.spare, vm)
	}
	l.expireSpare(now, linked)
	for vm := range linked {
		if l.wanted[vm] {
			continue
		}
		if _, spare := l.spare[vm]; spare {
			continue
		}
		if previous[vm] {
			l.spare[vm] = now
			continue
		}
		if l.uses[vm] == 0 {
			drop = append(drop, vm)
		}
	}
	slices.Sort(drop)
	return drop, changed
}

// expireSpare lets go of the spare links that have been idle for long enough, and of the
// longest idle ones past the bound; the lock is held.
func (l *linkChooser) expireSpare(now time.Duration, linked map[string]bool) {
	for vm, lastUse := range l.spare {
		timeout := spareIdleTimeout
		if !linked[vm] {
			timeout = unlinkedSpareTimeout
		}
		if l.uses[vm] == 0 && now-lastUse >= timeout {
			delete(l.spare, vm)
		}
	}
	for len(l.spare) > maxSpareLinks && l.evictIdlest() {
	}
}

// isUnavailable says that an agent is marked isUnavailable, or that its VM leaves or has left. It is called on
// the control goroutine, the only one that writes the agents, and needs no lock.
func (l *linkChooser) isUnavailable(state *member.State, vm string) bool {
	listed, ok := l.agents[vm]
	return !ok || listed.State == platform.StateLeaving || state.View.VMOutOfService(vm, listed.FailureDomain)
}

// isLinkPending says that a link to an agent for an offer may stand at any moment: one is being
// made, or stands and has brought no report yet.
func (l *linkChooser) isLinkPending(offer string, reported func(vm string) bool) bool {
	if l.linksToAll() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// The list names the model; a caller may ask for one version of it.
	offer, _, _ = strings.Cut(offer, "@")
	selector := l.selectors[offer]
	if selector == nil {
		return false
	}
	if selector.HasPendingLink() {
		return true
	}
	for vm := range l.wanted {
		if l.agents[vm].Offer == offer && !reported(vm) {
			return true
		}
	}
	return false
}

// agentsPerLink is how many agents of the region there are for each that new work may go to, of
// the offer that the list says an agent makes.
func (l *linkChooser) agentsPerLink(vm string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	selector := l.selectors[l.agents[vm].Offer]
	if selector == nil {
		return 1
	}
	return selector.ServersPerLink()
}

// isIdle says that no request is at an agent, or waits for it.
func (l *linkChooser) isIdle(vm string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.uses[vm] == 0
}

// linkState is what a dump tells of the links to agents.
type linkState struct {
	// PerOffer is the setting; 0 for all agents.
	PerOffer int
	// Work are the agents that new work may go to, Spare those linked beside them.
	Work, Spare []string
}

func (l *linkChooser) dump() linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return linkState{PerOffer: l.agentsPerOffer, Work: slices.Sorted(maps.Keys(l.wanted)), Spare: slices.Sorted(maps.Keys(l.spare))}
}
