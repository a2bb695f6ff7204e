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
	// maxSpareLinks limits the links outside the subset: those dialed for a ticket or an answer at
	// another agent, and those that have left the subset. It is about the size of the subset at the
	// design size, so that a store that comes back through other entries finds a link, and a flood
	// of such requests at most doubles an entry's links.
	maxSpareLinks = 64
	// spareIdleTimeout is how long a spare link is kept after its last use. Callers retry within
	// seconds.
	spareIdleTimeout = 10 * time.Second
	// unlinkedSpareTimeout is how long an agent is still dialed after the last request has stopped
	// waiting for it.
	unlinkedSpareTimeout = time.Second
)

// linkChooser decides which agents this entry has links to, and which of them get new work. With
// agentsPerOffer 0 the entry links to all agents, and there is nothing to decide. Request handlers
// and the control goroutine share it under one lock, which is taken while that of the directory is
// held.
type linkChooser struct {
	self           *api.Hello
	agentsPerOffer int
	spareRequests  metrics.Counter

	mu sync.Mutex
	// vms is the list of VMs that the subsets were selected from.
	vms       []platform.VM
	agents    map[string]platform.VM
	selectors map[string]*subset.LinkSelector
	// withoutOffer are the agents for which the list names no offer.
	withoutOffer map[string]bool
	wanted       map[string]bool
	// spare are the agents outside the subset that are linked or dialed, with the time of their
	// last use.
	spare map[string]time.Duration
	// uses counts the requests that are at each agent or wait for the link to it.
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

// linksToAll says whether this entry links to every agent.
func (l *linkChooser) linksToAll() bool { return l.agentsPerOffer == 0 }

// isWanted says whether there should be a link to an agent.
func (l *linkChooser) isWanted(vm string) bool {
	if l.linksToAll() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, spare := l.spare[vm]
	return spare || l.wanted[vm]
}

// canGetWork says whether an agent can get new work.
func (l *linkChooser) canGetWork(vm string) bool {
	if l.linksToAll() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted[vm]
}

// acquire counts a request that is at an agent or waits for the link to it. The link is not dropped
// until release.
func (l *linkChooser) acquire(vm string) {
	if l.linksToAll() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uses[vm]++
}

// release reverts the count of acquire.
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

// requestSpare requests a link to an agent outside the subset, for a request that only that agent
// can answer. It returns true if the agent is to be dialed now, which is once however many
// requests wait for it. At the limit, the link that has been idle longest is dropped; if none is
// idle, the request keeps waiting and may ask again.
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

// evictIdlest drops the spare link that has been idle longest; the lock is held.
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

// setVMs sets the platform's list of VMs, and selects the subsets again if it has changed.
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

// selectAgents selects the subset for each offer; the lock is held.
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
		// The agents are wanted at once. If none were until the next tick, a process that has just
		// started would count as fully linked.
		for _, vm := range chosen {
			l.wanted[vm] = true
		}
	}
	for vm := range l.withoutOffer {
		l.wanted[vm] = true
	}
}

// regionEntries returns the entries in this entry's region, always including itself, even if the
// list does not have it yet.
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

// inRegion returns the agents of a region, or all agents if the region has none: distant agents are
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

// tick updates which agents to link to. It returns the linked agents that are no longer wanted at
// all, and whether the set of agents that can get work has changed. A link that leaves the subset
// gets no new work and becomes a spare one, which is dropped after its work has ended, so no
// request is cut off.
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

// expireSpare drops the spare links that have been idle for long enough, and those above the limit,
// longest idle first; the lock is held.
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

// isUnavailable says whether an agent is marked out, or its VM is leaving or has left the list. It
// is called on the control goroutine, the only one that writes agents, and needs no lock.
func (l *linkChooser) isUnavailable(state *member.State, vm string) bool {
	listed, ok := l.agents[vm]
	return !ok || listed.State == platform.StateLeaving || state.View.VMOutOfService(vm, listed.FailureDomain)
}

// isLinkPending says whether a link to an agent for an offer may come up at any moment: it is being
// made, or is up but has not brought a report yet.
func (l *linkChooser) isLinkPending(offer string, noReportPending func(vm string) bool) bool {
	if l.linksToAll() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// The list names the model without its version, which a caller may ask for.
	offer, _, _ = strings.Cut(offer, "@")
	selector := l.selectors[offer]
	if selector == nil {
		return false
	}
	if selector.HasPendingLink() {
		return true
	}
	for vm := range l.wanted {
		if l.agents[vm].Offer == offer && !noReportPending(vm) {
			return true
		}
	}
	return false
}

// agentsPerLink returns the ratio of the agents in the region to those that can get new work from
// this entry, for the offer that the list names for a VM.
func (l *linkChooser) agentsPerLink(vm string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	selector := l.selectors[l.agents[vm].Offer]
	if selector == nil {
		return 1
	}
	return selector.ServersPerLink()
}

// isIdle says whether no request is at an agent or waits for it.
func (l *linkChooser) isIdle(vm string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.uses[vm] == 0
}

// linkState is the part of a dump about links to agents.
type linkState struct {
	// PerOffer is the configured number of agents per offer; 0 for all.
	PerOffer int
	// Work are the agents that can get new work, Spare those linked besides.
	Work, Spare []string
}

func (l *linkChooser) dump() linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return linkState{PerOffer: l.agentsPerOffer, Work: slices.Sorted(maps.Keys(l.wanted)), Spare: slices.Sorted(maps.Keys(l.spare))}
}
