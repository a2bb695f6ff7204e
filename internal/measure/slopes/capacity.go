package slopes

import "time"

// The target size, two years ahead.
const (
	regions           = 5
	domainsAtSize     = 12
	modelsAtSize      = 12
	requestsAtSize    = 22000.0 // per second
	tokensAtSize      = 9.2e6   // per second
	changesPerDay     = 13000.0
	agentsPerGroup    = 32 // agents of a group of 256 ranks, 8 on each VM
	firstTokenSeconds = 0.56
	tokenGapSeconds   = 0.064 // seconds
	secondsPerDay     = 86400.0
	vmTurnoverPerDay  = 1425.0 / membersAtSize // fraction of all VMs that fail or are replaced in a day
	listChangesPerVM  = 2                      // a VM that leaves and its successor each change the list
)

// The budget of a node for control.
const (
	budgetCPU     = 0.01 // cores
	budgetMemory  = 64e6 // bytes
	budgetBytes   = 7e3  // per second
	budgetInForce = 9 * time.Second
)

// The planned mechanisms, which docs/design/subsetting.md evaluates.
const (
	agentsPerModel          = 4       // links of an entry for each model
	entryPeers              = 8       // links of an entry to other entries
	readerAgentsPerModel    = 2       // links for each model of an entry that reads the log
	plannedHeartbeatRate    = 1.0     // heartbeats per second on a link
	readersPerDomain        = 2       // entries of a failure domain that read the log
	plannedListInterval     = 30.0    // seconds between reads of the list of VMs, by readers in turn
	plannedSnapshotInterval = 2000    // changes from one snapshot to the next
	idleHeartbeatRate       = 1 / 0.6 // heartbeats per second on a link without work, as measured
	activeHeartbeatRate     = 5       // heartbeats per second on a link with work
	todaySnapshotInterval   = 200
	maxHops                 = 4 // maximum links that a change passes: reader, two entries, agent
)

// gcFactor is the ratio of resident to reachable memory: the garbage collector lets the heap grow
// to twice the reachable size before it runs.
const gcFactor = 2

// perUnit holds the costs per unit on which the extrapolation is based, from least-squares fits of
// the measurements.
type perUnit struct {
	agentLink, peerLink          float64 // bytes per second on a link, both directions
	entryBase, entryLinkMemory   float64 // resident bytes
	agentBase, agentLinkMemory   float64
	entryCPU, entryLinkCPU       float64 // cores
	agentCPU, agentLinkCPU       float64
	listVM                       float64 // bytes per VM in the list
	reads, lists, readSize       float64 // per second, per second, bytes
	changeBytes                  float64 // per change and link
	changeCPU                    float64 // seconds of an entry per change
	appends                      float64 // per change
	entryRequest, entryToken     float64 // seconds
	agentRequest, agentToken     float64
	tokenBytes                   float64 // on a link
	entryInFlight, agentInFlight float64 // resident bytes per request in flight
	groupBase, groupAgent        float64 // bytes per second of a coordinator
	groupCPU, groupAgentCPU      float64
}

// reportBytes returns the traffic that an agent's reports add to an idle link, in bytes per second.
// Besides one report per second, such a link has the heartbeats of a link between entries.
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

// fitLinks fits the cost of links without load.
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

// fitRequests fits the cost of requests and tokens. The memory per request is the slope over the
// loads, with the first load included in the base, so that buffers and stacks that are allocated
// only once do not count for each request. The additional heartbeats under load are subtracted, at
// the cost of those without load.
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

// kind is the resource that a term of a cost uses.
type kind int

const (
	bytesKind  kind = iota // per second, of control messages
	cpuKind                // cores
	memoryKind             // bytes
)

// term is a part of the cost of a node: a slope multiplied by counts.
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

// value returns the slope multiplied by all counts.
func (t term) value() float64 {
	v := t.slope
	for _, c := range t.counts {
		v *= c.value
	}
	return v
}

// nodeCost is the cost of control for one node.
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

// fleet is the number of VMs of each role.
type fleet struct{ entries, agents float64 }

var (
	today  = fleet{entries: 8, agents: 15}
	atSize = fleet{entries: entriesAtSize, agents: agentsAtSize}
)

func (f fleet) members() factor { return factor{"VMs", f.entries + f.agents} }

// listChanges returns how often the list of VMs changes. With the current mechanisms each process
// then reads the whole list.
func (f fleet) listChanges() factor {
	return factor{"list changes/s", f.members().value * vmTurnoverPerDay * listChangesPerVM / secondsPerDay}
}

// heartbeatCost returns the processor time to process one heartbeat, for the smallest measured
// number of members that is not below the given one.
func (s *Slopes) heartbeatCost(members float64) float64 {
	for _, n := range heardMemberCounts {
		if members <= float64(n) {
			return s.cpu.heartbeat[n]
		}
	}
	return s.cpu.heartbeat[membersAtSize]
}

// Factors that occur in several terms.
var (
	changeRate   = factor{"changes/s", changesPerDay / secondsPerDay}
	allCustomers = factor{"customers", customersAtSize}
	gcOverhead   = factor{"garbage collector", gcFactor}
)

// addConfiguration adds what every member keeps and processes: the configuration, the list of VMs
// and the members heard.
func (s *Slopes) addConfiguration(l *nodeCost, f fleet, heardMembers float64) {
	l.add(cpuKind, "changes applied", s.cpu.change, changeRate)
	l.add(memoryKind, "configuration", s.memory.customer, allCustomers, gcOverhead)
	l.add(memoryKind, "list of VMs", s.memory.vm, f.members(), gcOverhead)
	l.add(memoryKind, "members heard, for freshness", s.memory.heardMember, factor{"members heard", heardMembers}, gcOverhead)
}

// addPlatformReads adds what every member reads from the platform with the current mechanisms.
func (s *Slopes) addPlatformReads(l *nodeCost, u perUnit, f fleet) {
	l.add(bytesKind, "polls of the log", u.readSize, factor{"reads/s", u.reads})
	l.add(bytesKind, "list of VMs, when it has changed", u.listVM, f.members(), f.listChanges())
	l.add(bytesKind, "snapshots read from the log", s.memory.snapshotCustomer, allCustomers, factor{"snapshots/s", changeRate.value / todaySnapshotInterval})
	l.add(cpuKind, "list of VMs parsed", s.cpu.vmList/membersAtSize, f.members(), f.listChanges())
}

// entryToday returns the cost of an entry linked to all members, with the current mechanisms.
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

// agentToday returns the cost of an agent linked to all entries and to the other agents of its
// group.
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

// entryPlanned returns the cost of an entry with a subset of links.
func (s *Slopes) entryPlanned(u perUnit) nodeCost {
	return s.entryWithSubset(u, modelsAtSize*agentsPerModel, entryPeers)
}

// readerPlanned returns the cost of an entry that also reads the log and, in turn with the other
// readers, the list of VMs, and that counts the entries of its failure domain. In exchange it has
// fewer agents.
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

// agentPlanned returns the cost of an agent with its share of the entries' links. The link to the
// coordinator of its group is counted in coordinatorCost.
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

// coordinatorCost returns the cost that the coordination of a group of 32 agents adds to an agent,
// at a given heartbeat rate. The heartbeats of a link between agents cost as much as those between
// entries; the rest of its traffic is for the group.
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
