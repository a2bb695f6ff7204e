package slopes

import "time"

// The size of two years ahead.
const (
	regions        = 5
	domainsAtSize  = 12
	modelsAtSize   = 12
	requestsAtSize = 22000.0 // a second
	tokensAtSize   = 9.2e6   // a second
	changesADay    = 13000.0
	groupAgents    = 32 // agents of a group of 256 ranks, 8 on each VM
	firstToken     = 0.56
	tokenGap       = 0.064 // seconds
	daySeconds     = 86400.0
	turnover       = 1425.0 / membersAtSize // part of all VMs that fail or are replaced in a day
	listedTwice    = 2                      // a VM that leaves and its successor each change the list
)

// The budget of a node for control.
const (
	budgetCPU    = 0.01 // cores
	budgetMemory = 64e6 // bytes
	budgetBytes  = 7e3  // a second
	budgetForce  = 9 * time.Second
)

// The mechanism that is planned: what docs/design/subsetting.md weighs.
const (
	agentsPerModel  = 4       // links of an entry for each model
	entryPeers      = 8       // links of an entry to other entries
	readerAgents    = 2       // links for each model of an entry that reads the log
	plannedBeat     = 1.0     // heartbeats a second on a link
	readersADomain  = 2       // entries of a failure domain that read the log
	plannedList     = 30.0    // seconds between reads of the list of VMs, by readers in turn
	plannedSnapshot = 2000    // changes from one snapshot to the next
	todayBeat       = 1 / 0.6 // of a link without work, which is what is measured
	workBeat        = 5       // of one with work
	todaySnapshot   = 200
	relays          = 4 // links that a change passes at most: reader, two entries, agent
)

// gcShare is the memory resident for each byte reachable: the collector lets the
// heap grow to twice what is reachable before it runs.
const gcShare = 2

// perUnit holds the slopes that the arithmetic rests on, by least squares from the
// runs.
type perUnit struct {
	agentLink, peerLink     float64 // bytes a second of a link, both directions
	entryBase, entryLink    float64 // resident bytes
	agentBase, agentLinkMem float64
	entryCPU, entryLinkCPU  float64 // cores
	agentCPU, agentLinkCPU  float64
	listVM                  float64 // bytes of the list for a VM
	reads, lists, readSize  float64 // a second, a second, bytes
	changeBytes             float64 // of a change, on each link
	changeCPU               float64 // seconds of an entry for a change
	appends                 float64 // of a change
	entryRequest, entryTok  float64 // seconds
	agentRequest, agentTok  float64
	tokenBytes              float64 // on a link
	entryFlight, agentFl    float64 // resident bytes of a request in flight
	groupBase, groupAgent   float64 // bytes a second of a coordinator
	groupCPU, groupAgentCPU float64
}

// reports is what the reports of an agent add to a link without load: the link has one
// a second, and the heartbeats of a link between entries.
func (u perUnit) reports() float64 { return max(0, u.agentLink-u.peerLink) }

func (s *Slopes) perUnit() perUnit {
	var u perUnit
	s.links(&u)
	s.requests(&u)
	var others, bytes, cpu []float64
	for _, g := range s.groups {
		others, bytes, cpu = append(others, g.others), append(bytes, g.bytes), append(cpu, g.cpu)
	}
	u.groupBase, u.groupAgent = line(others, bytes)
	u.groupCPU, u.groupAgentCPU = line(others, cpu)
	return u
}

// links fits what links cost without load.
func (s *Slopes) links(u *perUnit) {
	var agentLinks, agentBytes, agentMemory, agentCPU []float64
	var entryLinks, entryMemory, entryCPU, peers, peerBytes, vms, list []float64
	for _, q := range s.quiet {
		agentLinks, agentBytes = append(agentLinks, q.agent.links), append(agentBytes, q.agent.bytes)
		agentMemory, agentCPU = append(agentMemory, q.agent.resident), append(agentCPU, q.agent.cpu)
		entryLinks, entryMemory = append(entryLinks, q.entry.links), append(entryMemory, q.entry.resident)
		entryCPU = append(entryCPU, q.entry.cpu)
		vms, list = append(vms, float64(q.entries+q.agents)), append(list, q.entry.listSize)
		u.reads, u.lists, u.readSize = q.entry.reads, q.entry.lists, q.entry.readSize
		u.changeBytes += q.changeBytes / float64(len(s.quiet))
		u.changeCPU += q.changeCPU / float64(len(s.quiet))
		u.appends += q.appends / float64(len(s.quiet))
	}
	_, u.agentLink = line(agentLinks, agentBytes)
	for _, q := range s.quiet {
		peers = append(peers, q.entry.peers)
		peerBytes = append(peerBytes, q.entry.bytes-float64(q.agents)*u.agentLink)
	}
	_, u.peerLink = line(peers, peerBytes)
	u.agentBase, u.agentLinkMem = line(agentLinks, agentMemory)
	u.agentCPU, u.agentLinkCPU = line(agentLinks, agentCPU)
	u.entryBase, u.entryLink = line(entryLinks, entryMemory)
	u.entryCPU, u.entryLinkCPU = line(entryLinks, entryCPU)
	_, u.listVM = line(vms, list)
}

// requests fits what work costs. The base of the memory is the first load's, so that
// what buffers and stacks once took does not count for each request. The heartbeats that
// links have more of under load are taken off, at the cost of those without load.
func (s *Slopes) requests(u *perUnit) {
	var x [][]float64
	var entry, agent, flight, entryMemory, agentMemory []float64
	var bytes, tokens float64
	for _, b := range s.busy {
		x = append(x, []float64{b.requests, b.requests * float64(b.tokens)})
		entry = append(entry, b.entryCPU-b.entryBeats*u.entryLinkCPU/todayBeat)
		agent = append(agent, b.agentCPU-b.agentBeats*u.agentLinkCPU/todayBeat)
		flight = append(flight, float64(b.callers))
		entryMemory, agentMemory = append(entryMemory, b.entryResident), append(agentMemory, b.agentResident)
		bytes += b.bytes - b.entryBeats*u.agentLink/todayBeat
		tokens += b.requests * float64(b.tokens)
	}
	e, a := fit(x, entry), fit(x, agent)
	u.entryRequest, u.entryTok = e[0], e[1]
	u.agentRequest, u.agentTok = a[0], a[1]
	u.tokenBytes = bytes / tokens
	_, u.entryFlight = line(flight, entryMemory)
	_, u.agentFl = line(flight, agentMemory)
}

// kind is what a term of a load spends.
type kind int

const (
	bytesKind  kind = iota // a second, of control
	cpuKind                // cores
	memoryKind             // bytes
)

// term is one part of what a node spends: count times a slope.
type term struct {
	kind   kind
	what   string
	counts []factor
	slope  float64
}

// factor is a count with its name.
type factor struct {
	name  string
	value float64
}

// value is the slope times all counts.
func (t term) value() float64 {
	v := t.slope
	for _, c := range t.counts {
		v *= c.value
	}
	return v
}

// load is what one node spends on control.
type load struct {
	links float64
	terms []term
}

func (l *load) add(k kind, what string, slope float64, counts ...factor) {
	l.terms = append(l.terms, term{kind: k, what: what, counts: counts, slope: slope})
}

func (l *load) sum(k kind) float64 {
	var sum float64
	for _, t := range l.terms {
		if t.kind == k {
			sum += t.value()
		}
	}
	return sum
}

// fleet is how many VMs there are.
type fleet struct{ entries, workers float64 }

var (
	today  = fleet{entries: 8, workers: 15}
	atSize = fleet{entries: entriesAtSize, workers: workersAtSize}
)

func (f fleet) members() factor { return factor{"VMs", f.entries + f.workers} }

// listChanges is how often the list changes: today each process reads it whole then.
func (f fleet) listChanges() factor {
	return factor{"list changes/s", f.members().value * turnover * listedTwice / daySeconds}
}

// heardCost is the processor time of taking in one heartbeat, of the nearest number
// of members measured that is not smaller.
func (s *Slopes) heardCost(members float64) float64 {
	for _, n := range heardSizes {
		if members <= float64(n) {
			return s.cpu.heard[n]
		}
	}
	return s.cpu.heard[membersAtSize]
}

// Counts that stand in several terms.
var (
	perSecond = factor{"changes/s", changesADay / daySeconds}
	allTeams  = factor{"customers", customersAtSize}
	collected = factor{"garbage collector", gcShare}
)

// known adds what every member holds and takes in: the configuration and the list.
func (s *Slopes) known(l *load, f fleet, heard float64) {
	l.add(cpuKind, "changes applied", s.cpu.change, perSecond)
	l.add(memoryKind, "configuration", s.memory.customer, allTeams, collected)
	l.add(memoryKind, "list of VMs", s.memory.vm, f.members(), collected)
	l.add(memoryKind, "members heard, for freshness", s.memory.heard, factor{"members heard", heard}, collected)
}

// fromPlatform adds what every member asks of the platform today.
func (s *Slopes) fromPlatform(l *load, u perUnit, f fleet) {
	l.add(bytesKind, "polls of the log", u.readSize, factor{"reads/s", u.reads})
	l.add(bytesKind, "list of VMs, when it has changed", u.listVM, f.members(), f.listChanges())
	l.add(bytesKind, "snapshots read from the log", s.memory.snapshot, allTeams, factor{"snapshots/s", perSecond.value / todaySnapshot})
	l.add(cpuKind, "list of VMs parsed", s.cpu.list/membersAtSize, f.members(), f.listChanges())
}

// entryToday is an entry linked to all, with the mechanisms of today.
func (s *Slopes) entryToday(u perUnit, f fleet) load {
	l := load{links: f.entries + f.workers - 1}
	links := factor{"links", l.links}
	l.add(bytesKind, "heartbeats and reports of agents", u.agentLink, factor{"agents", f.workers})
	l.add(bytesKind, "heartbeats of entries", u.peerLink, factor{"entries", f.entries - 1})
	l.add(bytesKind, "changes passed on", u.changeBytes, links, perSecond)
	s.fromPlatform(&l, u, f)
	l.add(cpuKind, "base", u.entryCPU)
	l.add(cpuKind, "links", u.entryLinkCPU, links)
	l.add(cpuKind, "evidence of freshness weighed", s.heardCost(l.links), links, factor{"heartbeats/s", todayBeat})
	s.entryMemory(&l, u, f.workers)
	s.known(&l, f, l.links)
	return l
}

func (s *Slopes) entryMemory(l *load, u perUnit, agents float64) {
	l.add(memoryKind, "base", u.entryBase)
	l.add(memoryKind, "links", u.entryLink, factor{"links", l.links})
	l.add(memoryKind, "backend servers linked", s.memory.backend, factor{"agents", agents}, collected)
	l.add(memoryKind, "customers in admission", s.memory.customerShare, allTeams, collected)
}

// agentToday is an agent linked to all entries and to all others of its group.
func (s *Slopes) agentToday(u perUnit, f fleet, group float64) load {
	l := load{links: f.entries + group - 1}
	links := factor{"links", l.links}
	l.add(bytesKind, "heartbeats and reports", u.agentLink, factor{"entries", f.entries})
	l.add(bytesKind, "links to agents of the group", u.peerLink, factor{"agents", group - 1})
	l.add(bytesKind, "changes passed on", u.changeBytes, links, perSecond)
	s.fromPlatform(&l, u, f)
	l.add(cpuKind, "base", u.agentCPU)
	l.add(cpuKind, "links", u.agentLinkCPU, links)
	l.add(cpuKind, "evidence of freshness weighed", s.heardCost(f.entries), links, factor{"heartbeats/s", todayBeat})
	l.add(memoryKind, "base", u.agentBase)
	l.add(memoryKind, "links", u.agentLinkMem, links)
	s.known(&l, f, f.entries)
	return l
}

// entryPlanned is an entry with a subset of links.
func (s *Slopes) entryPlanned(u perUnit) load {
	return s.subset(u, modelsAtSize*agentsPerModel, entryPeers)
}

// readerPlanned is an entry that reads the log and, in turn with the other readers,
// the list; and that counts the entries of its failure domain. For that it has fewer
// agents.
func (s *Slopes) readerPlanned(u perUnit) load {
	const domain = entriesAtSize / domainsAtSize
	l := s.subset(u, modelsAtSize*readerAgents, entryPeers+domain-1)
	turns := factor{"turns/s", 1 / (plannedList * domainsAtSize * readersADomain)}
	l.add(bytesKind, "polls of the log", u.readSize, factor{"reads/s", u.reads})
	l.add(bytesKind, "list of VMs, in turn", u.listVM, atSize.members(), turns)
	l.add(bytesKind, "snapshots read from the log", s.memory.snapshot, allTeams, factor{"snapshots/s", perSecond.value / plannedSnapshot})
	return l
}

func (s *Slopes) subset(u perUnit, agents, peers float64) load {
	l := load{links: agents + peers}
	beats := factor{"of today's heartbeats", plannedBeat / todayBeat}
	l.add(bytesKind, "heartbeats", u.peerLink, factor{"links", l.links}, beats)
	l.add(bytesKind, "reports of agents, one a second", u.reports(), factor{"agents", agents})
	l.add(bytesKind, "changes, each fetched once", u.changeBytes, perSecond)
	l.add(cpuKind, "base", u.entryCPU)
	l.add(cpuKind, "links", u.entryLinkCPU, factor{"links", l.links}, beats)
	s.entryMemory(&l, u, agents)
	s.known(&l, atSize, l.links)
	return l
}

// agentPlanned is an agent with its part of the entries' links. The link to the
// coordinator of its group is counted there.
func (s *Slopes) agentPlanned(u perUnit) load {
	l := load{links: entriesAtSize * modelsAtSize * agentsPerModel / float64(workersAtSize)}
	links := factor{"links", l.links}
	beats := factor{"of today's heartbeats", plannedBeat / todayBeat}
	l.add(bytesKind, "heartbeats", u.peerLink, links, beats)
	l.add(bytesKind, "reports, one a second", u.reports(), links)
	l.add(bytesKind, "changes, each fetched once", u.changeBytes, perSecond)
	l.add(cpuKind, "base", u.agentCPU)
	l.add(cpuKind, "links", u.agentLinkCPU, links, beats)
	l.add(memoryKind, "base", u.agentBase)
	l.add(memoryKind, "links", u.agentLinkMem, links)
	s.known(&l, atSize, l.links)
	return l
}

// coordinator is what coordinating a group of 32 agents adds to an agent, with
// heartbeats at a rate. Of a link between agents all but the heartbeats, which are
// those of a link between entries, is for the group.
func coordinator(u perUnit, beat float64) load {
	others := factor{"agents", groupAgents - 1}
	beats := factor{"of today's heartbeats", beat / todayBeat}
	l := load{links: others.value}
	l.add(bytesKind, "heartbeats of agents", u.peerLink, others, beats)
	l.add(bytesKind, "orders of the group", max(0, u.groupAgent-u.peerLink), others)
	l.add(cpuKind, "links and orders", u.groupAgentCPU, others, beats)
	l.add(memoryKind, "links", u.agentLinkMem, others)
	return l
}
