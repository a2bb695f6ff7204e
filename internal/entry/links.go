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
	// maxSpare bounds the links for which the subset has no use: those dialled for a
	// ticket or an answer at another agent, and those that have left the subset. It is
	// about as many as the subset has at the size to design for, so that a store that
	// comes back through other entries finds room, and a flood of such requests doubles
	// an entry's links at most.
	maxSpare = 64
	// spareKeep is how long such a link is kept after its last use: callers ask again
	// within seconds.
	spareKeep = 10 * time.Second
	// unlinkedKeep is how long an agent is dialled on after the last request gave up
	// waiting for it.
	unlinkedKeep = time.Second
)

// links decides which agents this entry is linked to, and what for. With no number of
// agents per offer set it wants all of them, and does nothing else. Traffic and the
// control goroutine share it under one lock, which is taken inside the directory's.
type links struct {
	self   *api.Hello
	per    int
	spares metrics.Counter

	mu sync.Mutex
	// vms is the list of VMs that the choice was made from.
	vms     []platform.VM
	agents  map[string]platform.VM
	keepers map[string]*subset.LinkSelector
	// unnamed are agents of which the list does not say what they offer.
	unnamed map[string]bool
	wanted  map[string]bool
	// spare are the agents that are linked, or dialled, beside those wanted, with the
	// time of their last use.
	spare map[string]time.Duration
	// uses counts the requests at each agent, or waiting for the link to it.
	uses map[string]int
}

func newLinks(self *api.Hello, per int, registry metrics.Registry) *links {
	return &links{
		self:    self,
		per:     per,
		spares:  metrics.GetOrRegisterCounter("entry.links.spare", registry),
		agents:  make(map[string]platform.VM),
		keepers: make(map[string]*subset.LinkSelector),
		wanted:  make(map[string]bool),
		spare:   make(map[string]time.Duration),
		uses:    make(map[string]int),
	}
}

// all says that this entry links to every agent.
func (l *links) all() bool { return l.per == 0 }

// wants says that a link to an agent is to stand.
func (l *links) wants(vm string) bool {
	if l.all() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, spare := l.spare[vm]
	return spare || l.wanted[vm]
}

// forWork says that new work may go to an agent.
func (l *links) forWork(vm string) bool {
	if l.all() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted[vm]
}

// use counts a request at an agent, or one that waits for the link to it: until it is
// done the link is not dropped.
func (l *links) use(vm string) {
	if l.all() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uses[vm]++
}

// done takes back the count of use.
func (l *links) done(now time.Duration, vm string) {
	if l.all() {
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

// ask asks for a link to an agent outside the subset, for a request that only that agent
// can answer. It returns true if the agent is to be dialled now; however many requests
// wait for one agent, it is asked for once. Past the bound the link that has been idle
// longest gives way; if none is idle the request waits on and may ask again.
func (l *links) ask(now time.Duration, vm string) bool {
	if l.all() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, asked := l.spare[vm]
	_, listed := l.agents[vm]
	if asked || l.wanted[vm] || !listed {
		return false
	}
	if len(l.spare) >= maxSpare && !l.giveWay() {
		return false
	}
	l.spare[vm] = now
	l.spares.Inc(1)
	return true
}

// giveWay lets go of the spare link that has been idle longest; the lock is held.
func (l *links) giveWay() bool {
	var oldest string
	for vm, used := range l.spare {
		if l.uses[vm] == 0 && (oldest == "" || used < l.spare[oldest]) {
			oldest = vm
		}
	}
	delete(l.spare, oldest)
	return oldest != ""
}

// list takes the platform's list, and chooses anew if it has changed.
func (l *links) list(vms []platform.VM) {
	if l.all() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(vms, l.vms) {
		return
	}
	l.vms = vms
	l.agents = make(map[string]platform.VM)
	l.unnamed = make(map[string]bool)
	offers := make(map[string][]platform.VM)
	for _, vm := range vms {
		switch {
		case vm.Role != platform.RoleBackend:
			continue
		case vm.Offer == "":
			l.unnamed[vm.ID] = true
		case vm.State != platform.StateLeaving:
			offers[vm.Offer] = append(offers[vm.Offer], vm)
		}
		l.agents[vm.ID] = vm
	}
	l.choose(offers)
}

// choose takes the subset for each offer; the lock is held.
func (l *links) choose(offers map[string][]platform.VM) {
	entries, region := l.entries()
	for offer := range l.keepers {
		if offers[offer] == nil {
			delete(l.keepers, offer)
		}
	}
	for offer, agents := range offers {
		servers := inRegion(agents, region)
		own := subset.ForClient(l.self.GetVm(), entries, servers, l.per)
		if l.keepers[offer] == nil {
			l.keepers[offer] = subset.NewLinkSelector()
		}
		l.keepers[offer].SetServers(own, subset.FallbackOrder(l.self.GetVm(), servers, own))
		// Wanted at once: with nothing wanted until the next tick, a process that has
		// just started would take itself for linked.
		for _, vm := range own {
			l.wanted[vm] = true
		}
	}
	for vm := range l.unnamed {
		l.wanted[vm] = true
	}
}

// entries returns the entries of this one's region, itself among them even before the
// list has it.
func (l *links) entries() (entries []subset.Node, region string) {
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
func (l *links) tick(now time.Duration, linked map[string]bool, health func(vm string) subset.Health) (drop []string, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.wanted
	l.wanted = make(map[string]bool, len(was))
	for vm := range l.unnamed {
		l.wanted[vm] = true
	}
	for _, keeper := range l.keepers {
		for _, vm := range keeper.Update(now, health) {
			l.wanted[vm] = true
		}
	}
	changed = len(was) != len(l.wanted)
	for vm := range l.wanted {
		changed = changed || !was[vm]
		delete(l.spare, vm)
	}
	l.expire(now, linked)
	for vm := range linked {
		if l.wanted[vm] {
			continue
		}
		if _, spare := l.spare[vm]; spare {
			continue
		}
		if was[vm] {
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

// expire lets go of the spare links that have been idle for long enough, and of the
// longest idle ones past the bound; the lock is held.
func (l *links) expire(now time.Duration, linked map[string]bool) {
	for vm, used := range l.spare {
		keep := spareKeep
		if !linked[vm] {
			keep = unlinkedKeep
		}
		if l.uses[vm] == 0 && now-used >= keep {
			delete(l.spare, vm)
		}
	}
	for len(l.spare) > maxSpare && l.giveWay() {
	}
}

// out says that an agent is marked out, or that its VM leaves or has left. It is called on
// the control goroutine, the only one that writes the agents, and needs no lock.
func (l *links) out(state *member.State, vm string) bool {
	listed, ok := l.agents[vm]
	return !ok || listed.State == platform.StateLeaving || state.View.VMOutOfService(vm, listed.FailureDomain)
}

// pending says that a link to an agent for an offer may stand at any moment: one is being
// made, or stands and has brought no report yet.
func (l *links) pending(offer string, reported func(vm string) bool) bool {
	if l.all() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// The list names the model; a caller may ask for one version of it.
	offer, _, _ = strings.Cut(offer, "@")
	keeper := l.keepers[offer]
	if keeper == nil {
		return false
	}
	if keeper.HasPendingLink() {
		return true
	}
	for vm := range l.wanted {
		if l.agents[vm].Offer == offer && !reported(vm) {
			return true
		}
	}
	return false
}

// whole is how many agents of the region there are for each that new work may go to, of
// the offer that the list says an agent makes.
func (l *links) whole(vm string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	keeper := l.keepers[l.agents[vm].Offer]
	if keeper == nil {
		return 1
	}
	return keeper.ServersPerLink()
}

// idle says that no request is at an agent, or waits for it.
func (l *links) idle(vm string) bool {
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

func (l *links) dump() linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return linkState{PerOffer: l.per, Work: slices.Sorted(maps.Keys(l.wanted)), Spare: slices.Sorted(maps.Keys(l.spare))}
}
