package slopes

import (
	"fmt"
	"strings"
	"time"
)

// rows is a Markdown table under construction.
type rows struct{ strings.Builder }

func (t *rows) head(cells ...string) {
	t.row(cells...)
	t.WriteString(strings.Repeat("|---", len(cells)) + "|\n")
}

func (t *rows) row(cells ...string) { t.WriteString("| " + strings.Join(cells, " | ") + " |\n") }

// Report returns the tables of docs/CAPACITY.md.
func (s *Slopes) Report() string {
	u := s.perUnit()
	var t rows
	fmt.Fprintf(&t, "Measured on %s in %d s by `make slopes`. Other work on the machine lengthens processor times.\n\n",
		s.at.Format("2006-01-02 15:04 UTC"), int(s.took.Seconds()))
	t.WriteString("### Slopes\n\n")
	s.memoryRows(&t)
	s.processRows(&t, u)
	s.forceRows(&t)
	t.WriteString("\n### Control of a node at the size\n\n")
	s.nodeRows(&t, u)
	t.WriteString("\n### Traffic at the size\n\n")
	s.trafficRows(&t, u)
	t.WriteString("\n### The platform's log at the size\n\n")
	s.logRows(&t, u)
	return t.String()
}

func bytesText(b float64) string {
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

func secondsText(s float64) string {
	switch {
	case s >= 1:
		return fmt.Sprintf("%.1f s", s)
	case s >= 1e-3:
		return fmt.Sprintf("%.1f ms", s*1e3)
	}
	return fmt.Sprintf("%.1f µs", s*1e6)
}

func coreText(c float64) string { return fmt.Sprintf("%.2f%%", c*100) }

func (s *Slopes) memoryRows(t *rows) {
	m := s.memory
	t.head("memory reachable, in one process, for each", "bytes")
	for _, r := range []struct {
		name  string
		bytes float64
	}{
		{"customer in the configuration (entry, agent)", m.customer},
		{"customer in admission (entry)", m.customerShare},
		{"plan in the configuration (entry, agent)", m.plan},
		{"VM of the platform's list (entry, agent)", m.vm},
		{"member heard, for freshness (entry, agent)", m.heard},
		{"backend server: report, placement, a block of tickets (entry)", m.backend},
		{"link, one end, with its goroutines' stacks", m.link},
		{"block of 256 tickets granted (agent)", m.block},
		{"ticket used, its answer held (agent)", m.used},
		{"ticket used, its answer let go (agent)", m.forgotten},
		{"answer held, without its parts (agent)", m.answer},
		{fmt.Sprintf("part of an answer, of %d bytes (agent)", partBytes), m.part},
	} {
		t.row(r.name, fmt.Sprintf("%.0f", r.bytes))
	}
	t.WriteString("\n")
	t.head("message", "bytes")
	t.row("heartbeat", fmt.Sprintf("%.0f", m.beat))
	t.row("status report", fmt.Sprintf("%.0f", m.status))
	t.row("change of one customer", fmt.Sprintf("%.0f", m.change))
	t.row("customer in a snapshot", fmt.Sprintf("%.0f", m.snapshot))
	t.WriteString("\n")
	t.head("decision, in one process", "processor time")
	for _, n := range heardSizes {
		t.row(fmt.Sprintf("taking in one heartbeat, %d members heard", n), secondsText(s.cpu.heard[n]))
	}
	t.row("applying one change, 7,300 customers", secondsText(s.cpu.change))
	t.row("loading a snapshot of 7,300 customers", secondsText(s.cpu.load))
	t.row("parsing a list of 4,190 VMs", secondsText(s.cpu.list))
	t.WriteString("\n")
}

func (s *Slopes) processRows(t *rows, u perUnit) {
	t.WriteString("Real processes on loopback, at")
	for _, q := range s.quiet {
		fmt.Fprintf(t, " %d entries and %d agents;", q.entries, q.agents)
	}
	t.WriteString(" groups of 2, 4 and 8 agents. Bytes are those on the connection, without TCP and IP.\n\n")
	t.head("one process, without work", "entry", "agent")
	t.row("resident memory, base", bytesText(u.entryBase), bytesText(u.agentBase))
	t.row("resident memory for each link", bytesText(u.entryLink), bytesText(u.agentLinkMem))
	t.row("processor, base", coreText(u.entryCPU), coreText(u.agentCPU))
	t.row("processor for each link", fmt.Sprintf("%.3f%%", u.entryLinkCPU*100), fmt.Sprintf("%.3f%%", u.agentLinkCPU*100))
	t.row("processor for each link with work, beyond one without", fmt.Sprintf("%.3f%%", workBeyond(u.entryLinkCPU)*100), fmt.Sprintf("%.3f%%", workBeyond(u.agentLinkCPU)*100))
	t.row("bytes a second for each link, both directions", fmt.Sprintf("%.0f to an agent, %.0f to an entry", u.agentLink, u.peerLink), fmt.Sprintf("%.0f", u.agentLink))
	t.row("reads of the log a second, of bytes each", fmt.Sprintf("%.1f, %.0f", u.reads, u.readSize), "the same")
	t.row("looks at the list a second", fmt.Sprintf("%.1f", u.lists), "the same")
	t.row("bytes for each VM of the list, when it has changed", fmt.Sprintf("%.0f", u.listVM), "the same")
	t.row("bytes for each change and link", fmt.Sprintf("%.0f", u.changeBytes), "")
	t.row("processor for each change, 2 customers", secondsText(max(0, u.changeCPU)), "")
	t.row("processor for each request", secondsText(max(0, u.entryRequest)), secondsText(max(0, u.agentRequest)))
	t.row("processor for each token of a stream", secondsText(u.entryTok), secondsText(u.agentTok))
	t.row("bytes on links for each token", fmt.Sprintf("%.0f", u.tokenBytes), "")
	t.row("resident memory for each request in flight", bytesText(u.entryFlight), bytesText(u.agentFl))
	t.WriteString("\n")
	t.head("coordinator of a group, steps of 64 ms", "base", "for each other agent")
	t.row("bytes a second", fmt.Sprintf("%.0f", u.groupBase), fmt.Sprintf("%.0f", u.groupAgent))
	t.row("processor", coreText(u.groupCPU), fmt.Sprintf("%.3f%%", u.groupAgentCPU*100))
	t.WriteString("\n")
}

// workBeyond is the processor time of a link with work beyond that of one without, by the
// heartbeats of both.
func workBeyond(link float64) float64 { return link * (workBeat/todayBeat - 1) }

func (s *Slopes) forceRows(t *rows) {
	t.head("entries", "agents", "change in force: p50", "slowest of 16", "appends for each change")
	for _, q := range s.quiet {
		t.row(fmt.Sprint(q.entries), fmt.Sprint(q.agents),
			q.inForce[len(q.inForce)/2].Round(time.Millisecond).String(),
			q.inForce[len(q.inForce)-1].Round(time.Millisecond).String(), fmt.Sprintf("%.1f", q.appends))
	}
}

func verdict(value, budget float64) string {
	if value <= budget {
		return ""
	}
	return fmt.Sprintf(" (**%.1f ×**)", value/budget)
}

// role is one line of the table of nodes, with its parts.
type role struct {
	name string
	load load
}

func (s *Slopes) roles(u perUnit) []role {
	return []role{
		{"entry at today's size (8 entries, 15 agents), today's mechanisms", s.entryToday(u, today)},
		{"agent at today's size, in no group, today's mechanisms", s.agentToday(u, today, 1)},
		{"entry, today's mechanisms", s.entryToday(u, atSize)},
		{"agent, today's mechanisms", s.agentToday(u, atSize, groupAgents)},
		{"coordinator of 32 agents, beside its agent, today's mechanisms", coordinator(u, todayBeat)},
		{"entry, planned", s.entryPlanned(u)},
		{"entry that reads the log, planned", s.readerPlanned(u)},
		{"agent, planned", s.agentPlanned(u)},
		{"coordinator of 32 agents, beside its agent, planned", coordinator(u, plannedBeat)},
	}
}

func (s *Slopes) nodeRows(t *rows, u perUnit) {
	t.WriteString("Bold: so many times the budget.\n\n")
	t.head("node", "links", "bytes a second", "processor", "memory")
	t.row("budget", "", bytesText(budgetBytes), coreText(budgetCPU), bytesText(budgetMemory))
	for _, r := range s.roles(u) {
		b, c, m := r.load.sum(bytesKind), r.load.sum(cpuKind), r.load.sum(memoryKind)
		t.row(r.name, fmt.Sprintf("%.0f", r.load.links), bytesText(b)+verdict(b, budgetBytes),
			coreText(c)+verdict(c, budgetCPU), bytesText(m)+verdict(m, budgetMemory))
	}
	for _, r := range s.roles(u) {
		fmt.Fprintf(t, "\n**%s%s**\n\n", strings.ToUpper(r.name[:1]), r.name[1:])
		t.head("spends on", "formula", "result")
		for _, k := range []kind{bytesKind, cpuKind, memoryKind} {
			for _, part := range r.load.terms {
				if part.kind == k {
					t.row(kindNames[k]+": "+part.what, part.formula(), part.text(part.value()))
				}
			}
		}
	}
}

var kindNames = map[kind]string{bytesKind: "bytes", cpuKind: "processor", memoryKind: "memory"}

// formula is the slope with what it is multiplied by.
func (t term) formula() string {
	text := bytesText(t.slope)
	if t.kind == cpuKind {
		text = secondsText(t.slope)
	}
	for _, c := range t.counts {
		text += fmt.Sprintf(" × %.3g %s", c.value, c.name)
		if c.value >= 1000 {
			text = strings.Replace(text, fmt.Sprintf("%.3g", c.value), fmt.Sprintf("%.0f", c.value), 1)
		}
	}
	return text
}

// text writes a value in the unit of the term.
func (t term) text(v float64) string {
	switch t.kind {
	case cpuKind:
		return secondsText(v) + "/s"
	case bytesKind:
		return bytesText(v) + "/s"
	}
	return bytesText(v)
}

func (s *Slopes) trafficRows(t *rows, u perUnit) {
	flight := requestsAtSize * (firstToken + tokensAtSize/requestsAtSize*tokenGap)
	t.head("", "each entry", "each agent")
	t.row("requests a second", fmt.Sprintf("%.0f", requestsAtSize/entriesAtSize), fmt.Sprintf("%.1f", requestsAtSize/workersAtSize))
	t.row("tokens a second", fmt.Sprintf("%.0f", tokensAtSize/entriesAtSize), fmt.Sprintf("%.0f", tokensAtSize/workersAtSize))
	t.row("requests in flight", fmt.Sprintf("%.0f", flight/entriesAtSize), fmt.Sprintf("%.0f", flight/workersAtSize))
	t.row("processor, cores",
		fmt.Sprintf("%.2f", (requestsAtSize*max(0, u.entryRequest)+tokensAtSize*u.entryTok)/entriesAtSize),
		fmt.Sprintf("%.2f", (requestsAtSize*max(0, u.agentRequest)+tokensAtSize*u.agentTok)/workersAtSize))
	const entryLinks = modelsAtSize*agentsPerModel + entryPeers
	const agentLinks = entriesAtSize * modelsAtSize * agentsPerModel / float64(workersAtSize)
	t.row("heartbeats of links with work beyond those without, planned links, cores",
		fmt.Sprintf("%.3f", entryLinks*workBeyond(u.entryLinkCPU)), fmt.Sprintf("%.3f", agentLinks*workBeyond(u.agentLinkCPU)))
	t.row("memory of requests in flight", bytesText(flight*u.entryFlight/entriesAtSize), bytesText(flight*u.agentFl/workersAtSize))
	t.row("bytes on links a second", bytesText(tokensAtSize*u.tokenBytes/entriesAtSize), bytesText(tokensAtSize*u.tokenBytes/workersAtSize))
}

func (s *Slopes) logRows(t *rows, u perUnit) {
	changes := changesADay / daySeconds
	readers := float64(domainsAtSize * readersADomain)
	size := customersAtSize * s.memory.snapshot
	t.head("", "today's mechanisms", "planned")
	t.row("appends a second: changes", fmt.Sprintf("%.2f", changes*u.appends), "the same")
	t.row("appends a second: snapshots", fmt.Sprintf("%.5f", changes/todaySnapshot), fmt.Sprintf("%.5f", changes/plannedSnapshot))
	t.row("one snapshot", bytesText(size), "the same, in parts")
	t.row("reads of the log a second", fmt.Sprintf("%.0f", membersAtSize*u.reads), fmt.Sprintf("%.0f", readers*u.reads))
	t.row("looks at the list a second", fmt.Sprintf("%.0f", membersAtSize*u.lists), fmt.Sprintf("%.3f", 1/plannedList))
	t.row("bytes of lists a second", bytesText(membersAtSize*atSize.listChanges().value*u.listVM*membersAtSize), bytesText(u.listVM*membersAtSize/plannedList))
	t.row("bytes of snapshots a second", bytesText(membersAtSize*size*changes/todaySnapshot), bytesText(readers*size*changes/plannedSnapshot))
	path := 1/u.reads + relays/plannedBeat
	t.row(fmt.Sprintf("longest way of evidence to an agent (budget %s)", budgetForce), "one read: "+secondsText(1/u.reads), "a read and "+fmt.Sprint(relays)+" heartbeats: "+secondsText(path))
}
