package slopes

import "time"

// The size of two years ahead.
const (
	regions           = 5
	domainsAtSize     = 12
	modelsAtSize      = 12
	requestsAtSize    = 22000.0 // a second
	tokensAtSize      = 9.2e6   // a second
	changesPerDay     = 13000.0
	agentsPerGroup    = 32 // agents of a group of 256 ranks, 8 on each VM
	firstTokenSeconds = 0.56
	tokenGapSeconds   = 0.064 // seconds
	secondsPerDay     = 86400.0
	vmTurnoverPerDay  = 1425.0 / membersAtSize // part of all VMs that fail or are replaced in a day
	listChangesPerVM  = 2                      // a VM that leaves and its successor each change the list
)

// The budget of a node for control.
const (
	budgetCPU     = 0.01 // cores
	budgetMemory  = 64e6 // bytes
	budgetBytes   = 7e3  // a second
	budgetInForce = 9 * time.Second
)

// The mechanism that is planned: what docs/design/subsetting.md weighs.
const (
	agentsPerModel          = 4       // links of an entry for each model
	entryPeers              = 8       // links of an entry to other entries
	readerAgentsPerModel    = 2       // links for each model of an entry that reads the log
	plannedHeartbeatRate    = 1.0     // heartbeats a second on a link
	readersPerDomain        = 2       // entries of a failure domain that read the log
	plannedListInterval     = 30.0    // seconds between reads of the list of VMs, by readers in turn
	plannedSnapshotInterval = 2000    // changes from one snapshot to the next
	idleHeartbeatRate       = 1 / 0.6 // of a link without work, which is what is measured
	activeHeartbeatRate     = 5       // of one with work
	todaySnapshotInterval   = 200
	maxHops                 = 4 // links that a change passes at most: reader, two entries, agent
)

// gcFactor is the memory resident for each byte reachable: the collector lets the
// heap grow to twice what is reachable before it runs.
const gcFactor = 2

// perUnit holds the slopes that the arithmetic rests on, by least squares from the
// runs.
type perUnit struct {
	agentLink, peerLink          float64 // bytes a second of a link, both directions
	entryBase, entryLinkMemory   float64 // resident bytes
	agentBase, agentLinkMemory   float64
	entryCPU, entryLinkCPU       float64 // cores
	agentCPU, agentLinkCPU       float64
	listVM                       float64 // bytes of the list for a VM
	reads, lists, readSize       float64 // a second, a second, bytes
	changeBytes                  float64 // of a change, on each link
	changeCPU                    float64 // seconds of an entry for a change
	appends                      float64 // of a change
	entryRequest, entryToken     float64 // seconds
	agentRequest, agentToken     float64
	tokenBytes                   float64 // on a link
	entryInFlight, agentInFlight float64 // resident bytes of a request in flight
	groupBase, groupAgent        float64 // bytes a second of a coordinator
	groupCPU, groupAgentCPU      float64
}

// reportBytes is what the reportBytes of an agent add to a link without load: the link has one
// a second, and the heartbeats of a link between entries.
func (u perUnit) reportBytes() float64 { return max(0, u.agentLink-u.peerLink) }

func (s *Slopes) perUnit() perUnit {
	var u perUnit
	s.fitLinks(&u)
	s.fitRequests(&u)
	var others, bytes, cpu []float64
	for _, g := range s.groups {
		others, bytes, cpu = append(others, g.others), append(bytes, g.bytes), append(cpu, g.cpu)
	}
	u.groupBase, u.groupAgent = fitLine(others, bytes)
	u.groupCPU, u.groupAgentCPU = fitLine(others, cpu)
	return u
}

// fitLinks fits what fitLinks cost without load.
func (s *Slopes) fitLinks(u *perUnit) {
	var agentLinks, agentBytes, agentMemory, agentCPU []float64
	var entryLinks, entryMemory, entryCPU, peers, peerBytes, vms, list []float64
	for _, q := range s.idle {
		agentLinks, agentBytes = append(agentLinks, q.agent.links), append(agentBytes, q.agent.bytes)
		agentMemory, agentCPU = append(agentMemory, q.agent.resident), append(agentCPU, q.agent.cpu)
		entryLinks, entryMemory = append(entryLinks, q.entry.links), append(entryMemory, q.entry.resident)
		entryCPU = append(entryCPU, q.entry.cpu)
		vms, list = append(vms, float64(q.entries+q.agents)), append(list, q.entry.listSize)
		u.reads, u.lists, u.readSize = q.entry.reads, q.entry.lists, q.entry.readSize
		u.changeBytes += q.changeBytes / float64(len(s.idle))
		u.changeCPU += q.changeCPU / float64(len(s.idle))
		u.appends += q.appends / float64(len(s.idle))
	}
	_, u.agentLink = fitLine(agentLinks, agentBytes)
	for _, q := range s.idle {
		peers = append(peers, q.entry.peers)
		peerBytes = append(peerBytes, q.entry.bytes-float64(q.agents)*u.agentLink)
	}
	_, u.peerLink = fitLine(peers, peerBytes)
	u.agentBase, u.agentLinkMemory = fitLine(agentLinks, agentMemory)
	u.agentCPU, u.agentLinkCPU = fitLine(agentLinks, agentCPU)
	u.entryBase, u.entryLinkMemory = fitLine(entryLinks, entryMemory)
	u.entryCPU, u.entryLinkCPU = fitLine(entryLinks, entryCPU)
	_, u.listVM = fitLine(vms, list)
}

// fitRequests fits what work costs. The base of the memory is the first load's, so that
// what buffers and stacks once took does not count for each request. The heartbeats that
// links have more of under load are taken off, at the cost of those without load.
func (s *Slopes) fitRequests(u *perUnit) {
	var x [][]float64
	var entry, agent, flight, entryMemory, agentMemory []float64
	var bytes, tokens float64
	for _, b := range s.underLoad {
		x = append(x, []float64{b.requests, b.requests * float64(b.tokens)})
		entry = append(entry, b.entryCPU-b.entryHeartbeats*u.entryLinkCPU/idleHeartbeatRate)
		agent = append(agent, b.agentCPU-b.agentHeartbeats*u.agentLinkCPU/idleHeartbeatRate)
		flight = append(flight, float64(b.callers))
		entryMemory, agentMemory = append(entryMemory, b.entryResident), append(agentMemory, b.agentResident)
		bytes += b.bytes - b.entryHeartbeats*u.agentLink/idleHeartbeatRate
		tokens += b.requests * float64(b.tokens)
	}
	e, a := leastSquares(x, entry), leastSquares(x, agent)
	u.entryRequest, u.entryToken = e[0], e[1]
	u.agentRequest, u.agentToken = a[0], a[1]
	u.tokenBytes = bytes / tokens
	_, u.entryInFlight = fitLine(flight, entryMemory)
	_, u.agentInFlight = fitLine(flight, agentMemory)
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
	kind    kind
	purpose string
	counts  []factor
	slope   float64
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

// nodeCost is what one node spends on control.
type nodeCost struct {
	links float64
	terms []term
}

func (l *nodeCost) add(k kind, purpose string, slope float64, counts ...factor) {
	l.terms = append(l.terms, term{kind: k, purpose: purpose, counts: counts, slope: slope})
}

func (l *nodeCost) sum(k kind) float64 {
	var sum float64
	for _, t := range l.terms {
		if t.kind == k {
			sum += t.value()
		}
	}
	return sum
}

// fleet is how many VMs there are.
type fleet struct{ entries, agents float64 }

var (
	today  = fleet{entries: 8, agents: 15}
	atSize = fleet{entries: entriesAtSize, agents: agentsAtSize}
)

func (f fleet) members() factor { return factor{"VMs", f.entries + f.agents} }

// listChanges is how often the list changes: today each process reads it whole then.
func (f fleet) listChanges() factor {
	return factor{"list changes/s", f.members().value * vmTurnoverPerDay * listChangesPerVM / secondsPerDay}
}

// heartbeatCost is the processor time of taking in one heartbeat, of the nearest number
// of members measured that is not smaller.
func (s *Slopes) heartbeatCost(members float64) float64 {
	for _, n := range heardMemberCounts {
		if members <= float64(n) {
			return s.cpu.heartbeat[n]
		}
	}
	return s.cpu.heartbeat[membersAtSize]
}

// Counts that stand in several terms.
var (
	changeRate   = factor{"changes/s", changesPerDay / secondsPerDay}
	allCustomers = factor{"customers", customersAtSize}
	gcOverhead   = factor{"garbage collector", gcFactor}
)

// addConfiguration adds what every member holds and takes in: the configuration and the list.
func (s *Slopes) addConfiguration(l *nodeCost, f fleet, heardMembers float64) {
	l.add(cpuKind, "changes applied", s.cpu.change, changeRate)
	l.add(memoryKind, "configuration", s.memory.customer, allCustomers, gcOverhead)
	l.add(memoryKind, "list of VMs", s.memory.vm, f.members(), gcOverhead)
	l.add(memoryKind, "members heard, for freshness", s.memory.heardMember, factor{"members heard", heardMembers}, gcOverhead)
}

// addPlatformReads adds what every member asks of the platform today.
func (s *Slopes) addPlatformReads(l *nodeCost, u perUnit, f fleet) {
	l.add(bytesKind, "polls of the log", u.readSize, factor{"reads/s", u.reads})
	l.add(bytesKind, "list of VMs, when it has changed", u.listVM, f.members(), f.listChanges())
	l.add(bytesKind, "snapshots read from the log", s.memory.snapshotCustomer, allCustomers, factor{"snapshots/s", changeRate.value / todaySnapshotInterval})
	l.add(cpuKind, "list of VMs parsed", s.cpu.vmList/membersAtSize, f.members(), f.listChanges())
}

// entryToday is an entry linked to all, with the mechanisms of today.
func (s *Slopes) entryToday(u perUnit, f fleet) nodeCost {
	l := nodeCost{links: f.entries + f.agents - 1}
	links := factor{"links", l.links}
	l.add(bytesKind, "heartbeats and reports of agents", u.agentLink, factor{"agents", f.agents})
	l.add(bytesKind, "heartbeats of entries", u.peerLink, factor{"entries", f.entries - 1})
	l.add(bytesKind, "changes passed on", u.changeBytes, links, changeRate)
	s.addPlatformReads(&l, u, f)
	l.add(cpuKind, "base", u.entryCPU)
	l.add(cpuKind, "links", u.entryLinkCPU, links)
	l.add(cpuKind, "evidence of freshness weighed", s.heartbeatCost(l.links), links, factor{"heartbeats/s", idleHeartbeatRate})
	s.addEntryMemory(&l, u, f.agents)
	s.addConfiguration(&l, f, l.links)
	return l
}

func (s *Slopes) addEntryMemory(l *nodeCost, u perUnit, agents float64) {
	l.add(memoryKind, "base", u.entryBase)
	l.add(memoryKind, "links", u.entryLinkMemory, factor{"links", l.links})
	l.add(memoryKind, "backend servers linked", s.memory.backend, factor{"agents", agents}, gcOverhead)
	l.add(memoryKind, "customers in admission", s.memory.admissionCustomer, allCustomers, gcOverhead)
}

// agentToday is an agent linked to all entries and to all others of its group.
func (s *Slopes) agentToday(u perUnit, f fleet, group float64) nodeCost {
	l := nodeCost{links: f.entries + group - 1}
	links := factor{"links", l.links}
	l.add(bytesKind, "heartbeats and reports", u.agentLink, factor{"entries", f.entries})
	l.add(bytesKind, "links to agents of the group", u.peerLink, factor{"agents", group - 1})
	l.add(bytesKind, "changes passed on", u.changeBytes, links, changeRate)
	s.addPlatformReads(&l, u, f)
	l.add(cpuKind, "base", u.agentCPU)
	l.add(cpuKind, "links", u.agentLinkCPU, links)
	l.add(cpuKind, "evidence of freshness weighed", s.heartbeatCost(f.entries), links, factor{"heartbeats/s", idleHeartbeatRate})
	l.add(memoryKind, "base", u.agentBase)
	l.add(memoryKind, "links", u.agentLinkMemory, links)
	s.addConfiguration(&l, f, f.entries)
	return l
}

// entryPlanned is an entry with a subset of links.
func (s *Slopes) entryPlanned(u perUnit) nodeCost {
	return s.entryWithSubset(u, modelsAtSize*agentsPerModel, entryPeers)
}

// readerPlanned is an entry that reads the log and, in turn with the other readers,
// the list; and that counts the entries of its failure domain. For that it has fewer
// agents.
func (s *Slopes) readerPlanned(u perUnit) nodeCost {
	const domain = entriesAtSize / domainsAtSize
	l := s.entryWithSubset(u, modelsAtSize*readerAgentsPerModel, entryPeers+domain-1)
	readRate := factor{"turns/s", 1 / (plannedListInterval * domainsAtSize * readersPerDomain)}
	l.add(bytesKind, "polls of the log", u.readSize, factor{"reads/s", u.reads})
	l.add(bytesKind, "list of VMs, in turn", u.listVM, atSize.members(), readRate)
	l.add(bytesKind, "snapshots read from the log", s.memory.snapshotCustomer, allCustomers, factor{"snapshots/s", changeRate.value / plannedSnapshotInterval})
	return l
}

func (s *Slopes) entryWithSubset(u perUnit, agents, peers float64) nodeCost {
	l := nodeCost{links: agents + peers}
	heartbeatRatio := factor{"of today's heartbeats", plannedHeartbeatRate / idleHeartbeatRate}
	l.add(bytesKind, "heartbeats", u.peerLink, factor{"links", l.links}, heartbeatRatio)
	l.add(bytesKind, "reports of agents, one a second", u.reportBytes(), factor{"agents", agents})
	l.add(bytesKind, "changes, each fetched once", u.changeBytes, changeRate)
	l.add(cpuKind, "base", u.entryCPU)
	l.add(cpuKind, "links", u.entryLinkCPU, factor{"links", l.links}, heartbeatRatio)
	s.addEntryMemory(&l, u, agents)
	s.addConfiguration(&l, atSize, l.links)
	return l
}

// agentPlanned is an agent with its part of the entries' links. The link to the
// coordinator of its group is counted there.
func (s *Slopes) agentPlanned(u perUnit) nodeCost {
	l := nodeCost{links: entriesAtSize * modelsAtSize * agentsPerModel / float64(agentsAtSize)}
	links := factor{"links", l.links}
	heartbeatRatio := factor{"of today's heartbeats", plannedHeartbeatRate / idleHeartbeatRate}
	l.add(bytesKind, "heartbeats", u.peerLink, links, heartbeatRatio)
	l.add(bytesKind, "reports, one a second", u.reportBytes(), links)
	l.add(bytesKind, "changes, each fetched once", u.changeBytes, changeRate)
	l.add(cpuKind, "base", u.agentCPU)
	l.add(cpuKind, "links", u.agentLinkCPU, links, heartbeatRatio)
	l.add(memoryKind, "base", u.agentBase)
	l.add(memoryKind, "links", u.agentLinkMemory, links)
	s.addConfiguration(&l, atSize, l.links)
	return l
}

// coordinatorCost is what coordinating a group of 32 agents adds to an agent, with
// heartbeats at a rate. Of a link between agents all but the heartbeats, which are
// those of a link between entries, is for the group.
func coordinatorCost(u perUnit, heartbeatRate float64) nodeCost {
	others := factor{"agents", agentsPerGroup - 1}
	heartbeatRatio := factor{"of today's heartbeats", heartbeatRate / idleHeartbeatRate}
	l := nodeCost{links: others.value}
	l.add(bytesKind, "heartbeats of agents", u.peerLink, others, heartbeatRatio)
	l.add(bytesKind, "orders of the group", max(0, u.groupAgent-u.peerLink), others)
	l.add(cpuKind, "links and orders", u.groupAgentCPU, others, heartbeatRatio)
	l.add(memoryKind, "links", u.agentLinkMemory, others)
	return l
}
