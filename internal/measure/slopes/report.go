package slopes

import (
	"fmt"
	"strings"
	"time"
)

// markdownTable builds Markdown tables.
type markdownTable struct{ strings.Builder }

func (t *markdownTable) header(cells ...string) {
	t.row(cells...)
	t.WriteString(strings.Repeat("|---", len(cells)) + "|\n")
}

func (t *markdownTable) row(cells ...string) {
	t.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// Report returns the tables of docs/CAPACITY.md.
func (s *Slopes) Report() string {
	u := s.perUnit()
	var t markdownTable
	fmt.Fprintf(&t, "Measured on %s in %d s by `make slopes`. Other work on the machine lengthens processor times.\n\n",
		s.startedAt.Format("2006-01-02 15:04 UTC"), int(s.duration.Seconds()))
	t.WriteString("### Slopes\n\n")
	s.memoryRows(&t)
	s.processRows(&t, u)
	s.inForceRows(&t)
	t.WriteString("\n### Control of a node at the size\n\n")
	s.nodeRows(&t, u)
	t.WriteString("\n### Traffic at the size\n\n")
	s.trafficRows(&t, u)
	t.WriteString("\n### The platform's log at the size\n\n")
	s.logRows(&t, u)
	return t.String()
}

func formatBytes(b float64) string {
	switch {
	case b >= 1e9:
		return fmt.Sprintf("%.1f GB", b/1e9)
	case b >= 1e6:
		return fmt.Sprintf("%.1f MB", b/1e6)
	case b >= 1e4:
		return fmt.Sprintf("%.1f KB", b/1e3)
	}
	return fmt.Sprintf("%.0f B", b)
}

func formatSeconds(s float64) string {
	switch {
	case s >= 1:
		return fmt.Sprintf("%.1f s", s)
	case s >= 1e-3:
		return fmt.Sprintf("%.1f ms", s*1e3)
	}
	return fmt.Sprintf("%.1f µs", s*1e6)
}

func formatCores(c float64) string { return fmt.Sprintf("%.2f%%", c*100) }

func (s *Slopes) memoryRows(t *markdownTable) {
	m := s.memory
	t.header("memory reachable, in one process, for each", "bytes")
	for _, r := range []struct {
		name  string
		bytes float64
	}{
		{"customer in the configuration (entry, agent)", m.customer},
		{"customer in admission (entry)", m.admissionCustomer},
		{"plan in the configuration (entry, agent)", m.plan},
		{"VM of the platform's list (entry, agent)", m.vm},
		{"member heard, for freshness (entry, agent)", m.heardMember},
		{"backend server: report, placement, a block of tickets (entry)", m.backend},
		{"link, one end, with its goroutines' stacks", m.link},
		{"block of 256 tickets granted (agent)", m.ticketBlock},
		{"ticket used, its answer held (agent)", m.usedTicket},
		{"ticket used, its answer let go (agent)", m.forgottenTicket},
		{"answer held, without its parts (agent)", m.answer},
		{fmt.Sprintf("part of an answer, of %d bytes (agent)", partBytes), m.answerPart},
	} {
		t.row(r.name, fmt.Sprintf("%.0f", r.bytes))
	}
	t.WriteString("\n")
	t.header("message", "bytes")
	t.row("heartbeat", fmt.Sprintf("%.0f", m.heartbeat))
	t.row("status report", fmt.Sprintf("%.0f", m.status))
	t.row("change of one customer", fmt.Sprintf("%.0f", m.change))
	t.row("customer in a snapshot", fmt.Sprintf("%.0f", m.snapshotCustomer))
	t.WriteString("\n")
	t.header("decision, in one process", "processor time")
	for _, n := range heardMemberCounts {
		t.row(fmt.Sprintf("taking in one heartbeat, %d members heard", n), formatSeconds(s.cpu.heartbeat[n]))
	}
	t.row("applying one change, 7,300 customers", formatSeconds(s.cpu.change))
	t.row("loading a snapshot of 7,300 customers", formatSeconds(s.cpu.snapshot))
	t.row("parsing a list of 4,190 VMs", formatSeconds(s.cpu.vmList))
	t.WriteString("\n")
}

func (s *Slopes) processRows(t *markdownTable, u perUnit) {
	t.WriteString("Real processes on loopback, at")
	for _, q := range s.idle {
		fmt.Fprintf(t, " %d entries and %d agents;", q.entries, q.agents)
	}
	t.WriteString(" groups of 2, 4 and 8 agents. Bytes are those on the connection, without TCP and IP.\n\n")
	t.header("one process, without work", "entry", "agent")
	t.row("resident memory, base", formatBytes(u.entryBase), formatBytes(u.agentBase))
	t.row("resident memory for each link", formatBytes(u.entryLinkMemory), formatBytes(u.agentLinkMemory))
	t.row("processor, base", formatCores(u.entryCPU), formatCores(u.agentCPU))
	t.row("processor for each link", fmt.Sprintf("%.3f%%", u.entryLinkCPU*100), fmt.Sprintf("%.3f%%", u.agentLinkCPU*100))
	t.row("processor for each link with work, beyond one without", fmt.Sprintf("%.3f%%", extraUnderLoad(u.entryLinkCPU)*100), fmt.Sprintf("%.3f%%", extraUnderLoad(u.agentLinkCPU)*100))
	t.row("bytes a second for each link, both directions", fmt.Sprintf("%.0f to an agent, %.0f to an entry", u.agentLink, u.peerLink), fmt.Sprintf("%.0f", u.agentLink))
	t.row("reads of the log a second, of bytes each", fmt.Sprintf("%.1f, %.0f", u.reads, u.readSize), "the same")
	t.row("looks at the list a second", fmt.Sprintf("%.1f", u.lists), "the same")
	t.row("bytes for each VM of the list, when it has changed", fmt.Sprintf("%.0f", u.listVM), "the same")
	t.row("bytes for each change and link", fmt.Sprintf("%.0f", u.changeBytes), "")
	t.row("processor for each change, 2 customers", formatSeconds(max(0, u.changeCPU)), "")
	t.row("processor for each request", formatSeconds(max(0, u.entryRequest)), formatSeconds(max(0, u.agentRequest)))
	t.row("processor for each token of a stream", formatSeconds(u.entryToken), formatSeconds(u.agentToken))
	t.row("bytes on links for each token", fmt.Sprintf("%.0f", u.tokenBytes), "")
	t.row("resident memory for each request in flight", formatBytes(u.entryInFlight), formatBytes(u.agentInFlight))
	t.WriteString("\n")
	t.header("coordinator of a group, steps of 64 ms", "base", "for each other agent")
	t.row("bytes a second", fmt.Sprintf("%.0f", u.groupBase), fmt.Sprintf("%.0f", u.groupAgent))
	t.row("processor", formatCores(u.groupCPU), fmt.Sprintf("%.3f%%", u.groupAgentCPU*100))
	t.WriteString("\n")
}

// extraUnderLoad returns the processor time that a link with work needs beyond an idle link, in
// proportion to their heartbeat rates.
func extraUnderLoad(link float64) float64 { return link * (activeHeartbeatRate/idleHeartbeatRate - 1) }

func (s *Slopes) inForceRows(t *markdownTable) {
	t.header("entries", "agents", "change in force: p50", "slowest of 16", "appends for each change")
	for _, q := range s.idle {
		t.row(fmt.Sprint(q.entries), fmt.Sprint(q.agents),
			q.inForce[len(q.inForce)/2].Round(time.Millisecond).String(),
			q.inForce[len(q.inForce)-1].Round(time.Millisecond).String(), fmt.Sprintf("%.1f", q.appends))
	}
}

func overBudget(value, budget float64) string {
	if value <= budget {
		return ""
	}
	return fmt.Sprintf(" (**%.1f ×**)", value/budget)
}

// nodeRole is a row of the table of nodes, with the terms of its cost.
type nodeRole struct {
	name string
	cost nodeCost
}

func (s *Slopes) roles(u perUnit) []nodeRole {
	return []nodeRole{
		{"entry at today's size (8 entries, 15 agents), today's mechanisms", s.entryToday(u, today)},
		{"agent at today's size, in no group, today's mechanisms", s.agentToday(u, today, 1)},
		{"entry, today's mechanisms", s.entryToday(u, atSize)},
		{"agent, today's mechanisms", s.agentToday(u, atSize, agentsPerGroup)},
		{"coordinator of 32 agents, beside its agent, today's mechanisms", coordinatorCost(u, idleHeartbeatRate)},
		{"entry, planned", s.entryPlanned(u)},
		{"entry that reads the log, planned", s.readerPlanned(u)},
		{"agent, planned", s.agentPlanned(u)},
		{"coordinator of 32 agents, beside its agent, planned", coordinatorCost(u, plannedHeartbeatRate)},
	}
}

func (s *Slopes) nodeRows(t *markdownTable, u perUnit) {
	t.WriteString("Bold: so many times the budget.\n\n")
	t.header("node", "links", "bytes a second", "processor", "memory")
	t.row("budget", "", formatBytes(budgetBytes), formatCores(budgetCPU), formatBytes(budgetMemory))
	for _, r := range s.roles(u) {
		b, c, m := r.cost.sum(bytesKind), r.cost.sum(cpuKind), r.cost.sum(memoryKind)
		t.row(r.name, fmt.Sprintf("%.0f", r.cost.links), formatBytes(b)+overBudget(b, budgetBytes),
			formatCores(c)+overBudget(c, budgetCPU), formatBytes(m)+overBudget(m, budgetMemory))
	}
	for _, r := range s.roles(u) {
		fmt.Fprintf(t, "\n**%s%s**\n\n", strings.ToUpper(r.name[:1]), r.name[1:])
		t.header("spends on", "formula", "result")
		for _, k := range []kind{bytesKind, cpuKind, memoryKind} {
			for _, part := range r.cost.terms {
				if part.kind == k {
					t.row(kindNames[k]+": "+part.purpose, part.formula(), part.format(part.value()))
				}
			}
		}
	}
}

var kindNames = map[kind]string{bytesKind: "bytes", cpuKind: "processor", memoryKind: "memory"}

// formula returns the slope and its factors as text.
func (t term) formula() string {
	text := formatBytes(t.slope)
	if t.kind == cpuKind {
		text = formatSeconds(t.slope)
	}
	for _, c := range t.counts {
		text += fmt.Sprintf(" × %.3g %s", c.value, c.name)
		if c.value >= 1000 {
			text = strings.Replace(text, fmt.Sprintf("%.3g", c.value), fmt.Sprintf("%.0f", c.value), 1)
		}
	}
	return text
}

// format returns a value in the unit of the term.
func (t term) format(v float64) string {
	switch t.kind {
	case cpuKind:
		return formatSeconds(v) + "/s"
	case bytesKind:
		return formatBytes(v) + "/s"
	}
	return formatBytes(v)
}

func (s *Slopes) trafficRows(t *markdownTable, u perUnit) {
	flight := requestsAtSize * (firstTokenSeconds + tokensAtSize/requestsAtSize*tokenGapSeconds)
	t.header("", "each entry", "each agent")
	t.row("requests a second", fmt.Sprintf("%.0f", requestsAtSize/entriesAtSize), fmt.Sprintf("%.1f", requestsAtSize/agentsAtSize))
	t.row("tokens a second", fmt.Sprintf("%.0f", tokensAtSize/entriesAtSize), fmt.Sprintf("%.0f", tokensAtSize/agentsAtSize))
	t.row("requests in flight", fmt.Sprintf("%.0f", flight/entriesAtSize), fmt.Sprintf("%.0f", flight/agentsAtSize))
	t.row("processor, cores",
		fmt.Sprintf("%.2f", (requestsAtSize*max(0, u.entryRequest)+tokensAtSize*u.entryToken)/entriesAtSize),
		fmt.Sprintf("%.2f", (requestsAtSize*max(0, u.agentRequest)+tokensAtSize*u.agentToken)/agentsAtSize))
	const entryLinks = modelsAtSize*agentsPerModel + entryPeers
	const agentLinks = entriesAtSize * modelsAtSize * agentsPerModel / float64(agentsAtSize)
	t.row("heartbeats of links with work beyond those without, planned links, cores",
		fmt.Sprintf("%.3f", entryLinks*extraUnderLoad(u.entryLinkCPU)), fmt.Sprintf("%.3f", agentLinks*extraUnderLoad(u.agentLinkCPU)))
	t.row("memory of requests in flight", formatBytes(flight*u.entryInFlight/entriesAtSize), formatBytes(flight*u.agentInFlight/agentsAtSize))
	t.row("bytes on links a second", formatBytes(tokensAtSize*u.tokenBytes/entriesAtSize), formatBytes(tokensAtSize*u.tokenBytes/agentsAtSize))
}

func (s *Slopes) logRows(t *markdownTable, u perUnit) {
	changes := changesPerDay / secondsPerDay
	readers := float64(domainsAtSize * readersPerDomain)
	size := customersAtSize * s.memory.snapshotCustomer
	t.header("", "today's mechanisms", "planned")
	t.row("appends a second: changes", fmt.Sprintf("%.2f", changes*u.appends), "the same")
	t.row("appends a second: snapshots", fmt.Sprintf("%.5f", changes/todaySnapshotInterval), fmt.Sprintf("%.5f", changes/plannedSnapshotInterval))
	t.row("one snapshot", formatBytes(size), "the same, in parts")
	t.row("reads of the log a second", fmt.Sprintf("%.0f", membersAtSize*u.reads), fmt.Sprintf("%.0f", readers*u.reads))
	t.row("looks at the list a second", fmt.Sprintf("%.0f", membersAtSize*u.lists), fmt.Sprintf("%.3f", 1/plannedListInterval))
	t.row("bytes of lists a second", formatBytes(membersAtSize*atSize.listChanges().value*u.listVM*membersAtSize), formatBytes(u.listVM*membersAtSize/plannedListInterval))
	t.row("bytes of snapshots a second", formatBytes(membersAtSize*size*changes/todaySnapshotInterval), formatBytes(readers*size*changes/plannedSnapshotInterval))
	path := 1/u.reads + maxHops/plannedHeartbeatRate
	t.row(fmt.Sprintf("longest way of evidence to an agent (budget %s)", budgetInForce), "one read: "+formatSeconds(1/u.reads), "a read and "+fmt.Sprint(maxHops)+" heartbeats: "+formatSeconds(path))
}
