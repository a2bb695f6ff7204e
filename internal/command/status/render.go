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

// Bounds that keep the status on one screen; --json shows everything.
const (
	maxDomains = 12
	maxGroups  = 6
	maxTrouble = 12
	maxMarks   = 6
)

// longStill is the pause of a group that is shown; a switch of maps is shorter.
const longStill = 10 * time.Second

// States of a link in a status. Members that need no link have none.
const (
	linkUp      = "up"
	linkSuspect = "suspect"
	linkDown    = "down"
)

// Render draws the status as text.
func Render(s *adminapi.Status) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	process(w, s)
	configuration(w, s)
	domains(w, s)
	work(w, s)
	groups(w, s)
	trouble(w, s)
	_ = w.Flush()
	return text.String()
}

func process(w io.Writer, s *adminapi.Status) {
	p := s.Process
	state := "ready"
	if !p.Ready {
		state = "NOT READY"
	}
	if p.Draining {
		state = "draining"
	}
	fmt.Fprintf(w, "As seen by %s %s in %s (version %s, up %s): %s, configuration %s\n",
		p.Role, p.VM, p.FailureDomain, p.Version, seconds(p.UptimeMs), state, p.Freshness)
	if !s.Log.Reachable {
		fmt.Fprintf(w, "THE PLATFORM'S LOG DOES NOT ANSWER, for %s: nothing can be published\n", seconds(s.Log.DownMs))
	}
}

func configuration(w io.Writer, s *adminapi.Status) {
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
	more(w, out, maxMarks, "marks")
}

// domain sums up one failure domain.
type domain struct {
	name                    string
	out                     bool
	entries, entriesUp      int
	servers, cold, refusing int
	running, queued, limit  int32
	oldest                  int64
}

func domains(w io.Writer, s *adminapi.Status) {
	sums := sumDomains(s)
	fmt.Fprintln(w, "\nDOMAIN\tSERVICE\tENTRIES UP\tSERVERS\tCOLD\tREFUSING\tRUNNING/LIMIT\tQUEUED\tLEAST APPLIED")
	for i, d := range sums {
		if i == maxDomains {
			break
		}
		state := "in"
		if d.out {
			state = "OUT"
		}
		fmt.Fprintf(w, "%s\t%s\t%d of %d\t%d\t%d\t%d\t%d/%d\t%d\t%d\n", d.name, state, d.entriesUp, d.entries,
			d.servers, d.cold, d.refusing, d.running, d.limit, d.queued, d.oldest)
	}
	more(w, len(sums), maxDomains, "failure domains")
}

// sumDomains adds up members and backend servers, in the order of names.
func sumDomains(s *adminapi.Status) []*domain {
	named := map[string]*domain{}
	of := func(name string) *domain {
		if named[name] == nil {
			named[name] = &domain{name: name, oldest: s.Process.Applied}
		}
		return named[name]
	}
	for _, m := range allMembers(s) {
		d := of(m.FailureDomain)
		// Of a member without a link nothing new is known.
		if m.Link == linkUp {
			d.oldest = min(d.oldest, m.Applied)
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
		d := of(b.FailureDomain)
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
			of(m.Name).out = true
		}
	}
	sums := make([]*domain, 0, len(named))
	for _, d := range named {
		sums = append(sums, d)
	}
	slices.SortFunc(sums, func(a, b *domain) int { return cmp.Compare(a.name, b.name) })
	return sums
}

// allMembers gives the members and the process itself.
func allMembers(s *adminapi.Status) []adminapi.Member {
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

// work sums up the backend servers by what they offer.
func work(w io.Writer, s *adminapi.Status) {
	type sum struct {
		servers, cold, refusing int
		running, queued, limit  int32
	}
	sums := map[string]*sum{}
	var names []string
	for _, b := range s.Backends {
		name := "service " + b.Service
		if b.Model != "" {
			name = strings.TrimSpace("model " + b.Model + " " + b.ModelVersion)
		}
		if sums[name] == nil {
			sums[name] = &sum{}
			names = append(names, name)
		}
		at := sums[name]
		at.servers++
		at.running, at.queued, at.limit = at.running+b.Running, at.queued+b.Queued, at.limit+b.Limit
		if b.Cold {
			at.cold++
		}
		if b.Refusing != "" {
			at.refusing++
		}
	}
	slices.Sort(names)
	fmt.Fprintln(w, "\nOFFER\tSERVERS\tCOLD\tREFUSING\tRUNNING/LIMIT\tQUEUED")
	for i, name := range names {
		if i == maxDomains {
			break
		}
		at := sums[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d/%d\t%d\n", name, at.servers, at.cold, at.refusing, at.running, at.limit, at.queued)
	}
	more(w, len(names), maxDomains, "offers")
}

func groups(w io.Writer, s *adminapi.Status) {
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
	more(w, len(s.Groups), maxGroups, "groups")
}

// trouble names what an operator may have to act on.
func trouble(w io.Writer, s *adminapi.Status) {
	var lines []string
	for _, g := range s.Groups {
		if text := standing(g); text != "" {
			lines = append(lines, fmt.Sprintf("group %s\t%s", g.Name, text))
		}
		if g.Slowest != nil {
			lines = append(lines, fmt.Sprintf("group %s\t%s", g.Name, slowRanks(g)))
		}
	}
	for _, m := range allMembers(s) {
		if problem := problemOf(m, s.Process.Applied); problem != "" {
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
		if i == maxTrouble {
			break
		}
		fmt.Fprintln(w, line)
	}
	more(w, len(lines), maxTrouble, "lines")
}

// standing says that a group takes no step, or nothing.
func standing(g adminapi.Group) string {
	switch {
	case g.Coordinator == "":
		return "no word of its coordinator, the agent of rank 0; no step seen for " + seconds(g.StillMs)
	case g.StillMs > longStill.Milliseconds():
		return fmt.Sprintf("no step for %s, after step %d", seconds(g.StillMs), g.Step)
	}
	return ""
}

// slowRanks says whom every step of a group waits for.
func slowRanks(g adminapi.Group) string {
	text := fmt.Sprintf("rank %d on %s stays %.1f times slower than its group", g.Slowest.Rank, g.Slowest.VM, g.Slowest.Pace)
	if others := g.SlowRanks - 1; others > 0 {
		text += fmt.Sprintf(", and %d more", others)
	}
	return text
}

// problemOf says what is unusual about a member, or nothing.
func problemOf(m adminapi.Member, applied int64) string {
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

func more(w io.Writer, all, shown int, what string) {
	if all > shown {
		fmt.Fprintf(w, "… and %d more %s (--json shows all)\n", all-shown, what)
	}
}

func seconds(ms int64) string { return fmt.Sprintf("%d s", ms/1000) }
