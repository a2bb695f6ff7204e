package status

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/apricothub/apricothub/internal/adminapi"
)

// Limits that keep the status on one screen; --json shows everything.
const (
	maxDomains  = 12
	maxGroups   = 6
	maxProblems = 12
	maxMarks    = 6
)

// maxStepAge is the time without a step after which a group is shown as a problem. A change of
// expert maps takes less.
const maxStepAge = 10 * time.Second

// States of a link in a status. Members to which no link is needed have none.
const (
	linkUp      = "up"
	linkSuspect = "suspect"
	linkDown    = "down"
)

// Render returns the status as text.
func Render(s *adminapi.Status) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	renderProcess(w, s)
	renderConfiguration(w, s)
	renderDomains(w, s)
	renderOffers(w, s)
	renderGroups(w, s)
	renderProblems(w, s)
	_ = w.Flush()
	return text.String()
}

func renderProcess(w io.Writer, s *adminapi.Status) {
	p := s.Process
	state := "ready"
	if !p.Ready {
		state = "NOT READY"
	}
	if p.Draining {
		state = "draining"
	}
	fmt.Fprintf(w, "As seen by %s %s in %s (version %s, up %s): %s, configuration %s\n",
		p.Role, p.VM, p.FailureDomain, p.Version, formatSeconds(p.UptimeMs), state, p.Freshness)
	if !s.Log.Reachable {
		fmt.Fprintf(w, "THE PLATFORM'S LOG DOES NOT ANSWER, for %s: nothing can be published\n", formatSeconds(s.Log.DownMs))
	}
}

func renderConfiguration(w io.Writer, s *adminapi.Status) {
	fmt.Fprintln(w, "\nLIST\tOFFSET\tSECTIONS\tAUTHOR")
	for _, l := range s.Lists {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", l.Name, l.Offset, l.Sections, l.Author)
	}
	out := 0
	for _, m := range s.Marks {
		if !m.Out {
			continue
		}
		out++
		if out <= maxMarks {
			fmt.Fprintf(w, "marked out:\t%s %s, offset %d\n", m.Target, m.Name, m.Offset)
		}
	}
	renderOmitted(w, out, maxMarks, "marks")
}

// domainSummary sums up one failure domain.
type domainSummary struct {
	name                    string
	out                     bool
	entries, entriesUp      int
	servers, cold, refusing int
	running, queued, limit  int32
	minApplied              int64
}

func renderDomains(w io.Writer, s *adminapi.Status) {
	summaries := summarizeDomains(s)
	fmt.Fprintln(w, "\nDOMAIN\tSERVICE\tENTRIES UP\tSERVERS\tCOLD\tREFUSING\tRUNNING/LIMIT\tQUEUED\tLEAST APPLIED")
	for i, d := range summaries {
		if i == maxDomains {
			break
		}
		state := "in"
		if d.out {
			state = "OUT"
		}
		fmt.Fprintf(w, "%s\t%s\t%d of %d\t%d\t%d\t%d\t%d/%d\t%d\t%d\n", d.name, state, d.entriesUp, d.entries,
			d.servers, d.cold, d.refusing, d.running, d.limit, d.queued, d.minApplied)
	}
	renderOmitted(w, len(summaries), maxDomains, "failure domains")
}

// summarizeDomains sums up members and backend servers per failure domain, sorted by name.
func summarizeDomains(s *adminapi.Status) []*domainSummary {
	byName := map[string]*domainSummary{}
	summaryOf := func(name string) *domainSummary {
		if byName[name] == nil {
			byName[name] = &domainSummary{name: name, minApplied: s.Process.Applied}
		}
		return byName[name]
	}
	for _, m := range membersWithSelf(s) {
		d := summaryOf(m.FailureDomain)
		// The applied offset of a member without a working link may be outdated.
		if m.Link == linkUp {
			d.minApplied = min(d.minApplied, m.Applied)
		}
		if m.Role != "entry" {
			continue
		}
		d.entries++
		if m.Link == linkUp && m.Ready {
			d.entriesUp++
		}
	}
	for _, b := range s.Backends {
		d := summaryOf(b.FailureDomain)
		d.servers++
		d.running, d.queued, d.limit = d.running+b.Running, d.queued+b.Queued, d.limit+b.Limit
		if b.Cold {
			d.cold++
		}
		if b.Refusing != "" {
			d.refusing++
		}
	}
	for _, m := range s.Marks {
		if m.Target == adminapi.TargetDomain && m.Out {
			summaryOf(m.Name).out = true
		}
	}
	summaries := make([]*domainSummary, 0, len(byName))
	for _, d := range byName {
		summaries = append(summaries, d)
	}
	slices.SortFunc(summaries, func(a, b *domainSummary) int { return cmp.Compare(a.name, b.name) })
	return summaries
}

// membersWithSelf returns the members including the process that answers.
func membersWithSelf(s *adminapi.Status) []adminapi.Member {
	p := s.Process
	for _, m := range s.Members {
		if m.VM == p.VM {
			return s.Members
		}
	}
	self := adminapi.Member{
		VM: p.VM, Role: p.Role, FailureDomain: p.FailureDomain, Applied: p.Applied,
		Ready: p.Ready, Draining: p.Draining, Link: linkUp, EvidenceAgeMs: p.EvidenceAgeMs,
	}
	return append([]adminapi.Member{self}, s.Members...)
}

// renderOffers sums up the backend servers per service or model.
func renderOffers(w io.Writer, s *adminapi.Status) {
	type offerSummary struct {
		servers, cold, refusing int
		running, queued, limit  int32
	}
	summaries := map[string]*offerSummary{}
	var names []string
	for _, b := range s.Backends {
		name := "service " + b.Service
		if b.Model != "" {
			name = strings.TrimSpace("model " + b.Model + " " + b.ModelVersion)
		}
		if summaries[name] == nil {
			summaries[name] = &offerSummary{}
			names = append(names, name)
		}
		offer := summaries[name]
		offer.servers++
		offer.running, offer.queued, offer.limit = offer.running+b.Running, offer.queued+b.Queued, offer.limit+b.Limit
		if b.Cold {
			offer.cold++
		}
		if b.Refusing != "" {
			offer.refusing++
		}
	}
	slices.Sort(names)
	fmt.Fprintln(w, "\nOFFER\tSERVERS\tCOLD\tREFUSING\tRUNNING/LIMIT\tQUEUED")
	for i, name := range names {
		if i == maxDomains {
			break
		}
		offer := summaries[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d/%d\t%d\n", name, offer.servers, offer.cold, offer.refusing, offer.running, offer.limit, offer.queued)
	}
	renderOmitted(w, len(names), maxDomains, "offers")
}

func renderGroups(w io.Writer, s *adminapi.Status) {
	if len(s.Groups) == 0 {
		return
	}
	fmt.Fprintln(w, "\nGROUP\tMAP\tSTEP\tSKEW\tAGENTS\tCOORDINATOR\tBALLOT")
	for i, g := range s.Groups {
		if i == maxGroups {
			break
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f ms\t%d of %d\t%s\t%d\n", g.Name, g.MapVersion, g.Step, g.SkewMs,
			g.Agents, g.AgentsAll, cmp.Or(g.Coordinator, "none"), g.Ballot)
	}
	renderOmitted(w, len(s.Groups), maxGroups, "groups")
}

// renderProblems lists what an operator may have to act on.
func renderProblems(w io.Writer, s *adminapi.Status) {
	var lines []string
	for _, g := range s.Groups {
		if text := stepProblem(g); text != "" {
			lines = append(lines, fmt.Sprintf("group %s\t%s", g.Name, text))
		}
		if g.Slowest != nil {
			lines = append(lines, fmt.Sprintf("group %s\t%s", g.Name, slowRankProblem(g)))
		}
	}
	for _, m := range membersWithSelf(s) {
		if problem := memberProblem(m, s.Process.Applied); problem != "" {
			lines = append(lines, fmt.Sprintf("%s %s\t%s", m.Role, m.VM, problem))
		}
	}
	for _, b := range s.Backends {
		if b.Silent {
			lines = append(lines, fmt.Sprintf("server %s\tits engine does not answer", b.VM))
		} else if b.Refusing != "" {
			lines = append(lines, fmt.Sprintf("server %s\trefuses new work: %s", b.VM, b.Refusing))
		} else if b.Cold {
			lines = append(lines, fmt.Sprintf("server %s\tin cold start: limit %d of %d", b.VM, b.Limit, b.FullLimit))
		}
	}
	if len(lines) == 0 {
		fmt.Fprintln(w, "\nNo trouble known.")
		return
	}
	fmt.Fprintln(w, "\nTO LOOK AT")
	for i, line := range lines {
		if i == maxProblems {
			break
		}
		fmt.Fprintln(w, line)
	}
	renderOmitted(w, len(lines), maxProblems, "lines")
}

// stepProblem describes a group that completes no steps; empty if it does.
func stepProblem(g adminapi.Group) string {
	switch {
	case g.Coordinator == "":
		return "no report from its coordinator, the agent of rank 0; no step seen for " + formatSeconds(g.StepAgeMs)
	case g.StepAgeMs > maxStepAge.Milliseconds():
		return fmt.Sprintf("no step for %s, after step %d", formatSeconds(g.StepAgeMs), g.Step)
	}
	return ""
}

// slowRankProblem names the slowest rank, which every step of the group waits for.
func slowRankProblem(g adminapi.Group) string {
	text := fmt.Sprintf("rank %d on %s stays %.1f times slower than its group", g.Slowest.Rank, g.Slowest.VM, g.Slowest.Slowdown)
	if others := g.SlowRanks - 1; others > 0 {
		text += fmt.Sprintf(", and %d more", others)
	}
	return text
}

// memberProblem describes the problem of a member; empty if there is none.
func memberProblem(m adminapi.Member, applied int64) string {
	switch {
	case m.Link == "":
		return ""
	case m.Link == linkDown:
		return "link down"
	case m.Link == linkSuspect:
		return "link silent"
	case m.Draining:
		return "stopping"
	case m.Leaving:
		return "the VM is leaving"
	case !m.Ready:
		return "not ready"
	case m.Applied < applied:
		return fmt.Sprintf("%d offsets behind", applied-m.Applied)
	}
	return ""
}

func renderOmitted(w io.Writer, total, shown int, noun string) {
	if total > shown {
		fmt.Fprintf(w, "… and %d more %s (--json shows all)\n", total-shown, noun)
	}
}

func formatSeconds(ms int64) string { return fmt.Sprintf("%d s", ms/1000) }
