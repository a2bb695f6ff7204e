package fresh

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
)

// TestMain fixes the seed of the property tests, unless -rapid.seed names another.
func TestMain(m *testing.M) {
	flag.Parse()
	if fixed = flag.Lookup("rapid.seed").Value.String() == "0"; fixed {
		_ = flag.Set("rapid.seed", "11")
		_ = flag.Set("rapid.checks", "6000")
		_ = flag.Set("rapid.steps", "50")
	}
	os.Exit(m.Run())
}

// fixed says that the seed is the one of CI.
var fixed bool

// runs sets the number of runs of a property whose faults show early, in CI.
func runs(t *testing.T, checks string) {
	if before := flag.Lookup("rapid.checks").Value.String(); fixed {
		_ = flag.Set("rapid.checks", checks)
		t.Cleanup(func() { _ = flag.Set("rapid.checks", before) })
	}
}

// small are the VMs of a test: all but the last stand in the VM list at first.
var small = []string{"e1", "e2", "e3", "a1", "a2", "e4"}

// process is one incarnation on a VM.
type process struct {
	vm      string
	role    api.Role
	born    time.Duration
	applied int64
	tracker *Tracker
}

// world is a cluster of three entries and two agents with the platform's log, and
// one change that an observer follows until it is accepted. The VM list changes
// once: one VM is gone for good, or a fourth entry joins. Each process, and the
// observer, may learn of that at another time.
type world struct {
	vms        []string
	listed     int    // of them at first
	links      uint64 // the pairs that hear each other, bit by bit
	slack      int    // of counts
	now        time.Duration
	tail       int64
	processes  []*process
	acceptance *config.Acceptance
	acceptedAt map[int64]time.Duration
	late       []func() // messages on their way; each may arrive many times
	gone       int      // the VM that is gone, -1 for none
	joined     bool
}

func newWorld(vms []string) *world {
	w := &world{
		vms: vms, listed: len(vms) - 1, links: ^uint64(0), slack: slackLeast, gone: -1,
		acceptedAt: make(map[int64]time.Duration), processes: make([]*process, len(vms)),
	}
	w.begin()
	return w
}

// begin replaces all processes.
func (w *world) begin() {
	for i := range w.processes {
		w.replace(i)
	}
}

func (w *world) replace(i int) {
	p := &process{vm: w.vms[i], role: api.Role_ROLE_ENTRY, born: w.now, applied: nothing, tracker: New(w.vms[i], limit)}
	p.tracker.counts.slack = w.slack
	if p.vm[0] == 'a' {
		p.role = api.Role_ROLE_AGENT
	}
	p.list(w.vms[:w.listed])
	w.processes[i] = p
}

// list gives a process the VM list.
func (p *process) list(members []string) {
	var entries []string
	domains := make(map[string]string)
	for _, vm := range members {
		if vm[0] == 'e' {
			entries = append(entries, vm)
			domains[vm] = map[byte]string{'1': "x", '2': "y"}[vm[1]]
			if domains[vm] == "" {
				domains[vm] = "z"
			}
		}
	}
	p.tracker.SetEntries(entries)
	p.tracker.SetMembers(members)
	p.tracker.SetDomains(domains)
}

// newList returns the VM list after its one change.
func (w *world) newList() []string {
	members := slices.Clone(w.vms[:w.listed])
	if w.joined {
		return w.vms
	}
	if w.gone >= 0 {
		return slices.Delete(members, w.gone, w.gone+1)
	}
	return members
}

// changeList makes the one change of the list, if it was not made yet.
func (w *world) changeList(t *rapid.T) {
	if w.joined || w.gone >= 0 {
		return
	}
	if change := rapid.IntRange(0, w.listed).Draw(t, "change"); change < w.listed {
		w.gone = change
	} else {
		w.joined = true
	}
}

// observe tells the observer of the new list.
func (w *world) observe() {
	if w.acceptance == nil {
		return
	}
	for i, p := range w.processes {
		if slices.Contains(w.newList(), p.vm) {
			w.acceptance.ExpectMember(p.vm, p.role)
		} else if i == w.gone {
			w.acceptance.RemoveMember(p.vm)
		}
	}
}

// exchange captures what one process hears from another, for now or for later.
func (w *world) exchange(i, j int) func() {
	to, from := w.processes[i], w.processes[j]
	at := w.now - to.born
	k := from.tracker.Knowledge(w.now-from.born, from.applied)
	counts := from.tracker.Counts(w.now - from.born)
	return func() {
		if w.processes[i] != to || w.links&(1<<(8*min(i, j)+max(i, j))) == 0 {
			return
		}
		to.applied = max(to.applied, k.GetApplied())
		to.tracker.Heard(from.vm, at, k, to.applied)
		if counts != nil && from.role == api.Role_ROLE_ENTRY {
			to.tracker.Counted(from.vm, at, counts, to.applied)
		}
	}
}

func (w *world) all() int { return 1<<len(w.vms) - 1 }

// read captures an answer of the log.
func (w *world) read(i int) func() {
	p, at, tail := w.processes[i], w.now-w.processes[i].born, w.tail
	return func() {
		p.applied = max(p.applied, tail)
		p.tracker.Applied(p.applied)
		if p.applied == tail {
			p.tracker.Tail(at)
		}
	}
}

// acknowledge captures what the observer hears from a process.
func (w *world) acknowledge(i int) func() {
	p, at, applied, of := w.processes[i], w.now, w.processes[i].applied, w.acceptance
	return func() {
		if of != nil && slices.Contains(w.newList(), p.vm) {
			of.UpdateMember(p.vm, p.role, applied, at)
		}
	}
}

func (w *world) publish() {
	if _, done := w.acceptedAt[w.tail]; w.acceptance != nil && !done {
		return
	}
	w.tail++
	w.acceptance = config.NewAcceptance(w.tail, limit, w.now)
	for _, p := range w.processes[:w.listed] {
		w.acceptance.ExpectMember(p.vm, p.role)
	}
}

// capture draws a message of any kind.
func (w *world) capture(t *rapid.T) func() {
	i, j := rapid.IntRange(0, w.listed).Draw(t, "to"), rapid.IntRange(0, w.listed).Draw(t, "from")
	if i == w.gone || j == w.gone {
		t.Skip("gone")
	}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return w.read(i)
	case 1:
		return w.acknowledge(i)
	}
	return w.exchange(i, j)
}

// island draws who takes part in something: one side of the cut, the other, all, or
// any others.
func (w *world) island(t *rapid.T, cut int) []int {
	bits := rapid.SampledFrom([]int{cut, cut, w.all() &^ cut, w.all() &^ cut, w.all(), -1}).Draw(t, "island")
	if bits < 0 {
		bits = rapid.IntRange(0, w.all()).Draw(t, "members")
	}
	var in []int
	for i := range w.vms {
		if bits&(1<<i) != 0 && i != w.gone {
			in = append(in, i)
		}
	}
	return in
}

func (w *world) check(t *rapid.T) {
	if w.acceptance != nil {
		if state, _ := w.acceptance.State(w.now); state != config.Pending {
			if _, known := w.acceptedAt[w.tail]; !known {
				w.acceptedAt[w.tail] = w.now
			}
		}
	}
	for offset, at := range w.acceptedAt {
		for i, p := range w.processes {
			serves := p.tracker.State(w.now - p.born).Serves()
			if i != w.gone && w.now > at+limit && serves && p.applied < offset {
				t.Fatalf("at %v %s serves with offset %d; %d was accepted at %v", w.now, p.vm, p.applied, offset, at)
			}
		}
	}
}

// What the callers see: past the freshness limit after an operator was told
// "accepted", no process serves without the change. The log is out for some or all,
// processes see each other in islands, are replaced and forget, or stand still while
// time goes on; messages and answers of the log arrive late, twice or never.
func TestPropertyWhoServesHasWhatWasAccepted(t *testing.T) {
	checkWorld(t, small, false)
}

// What the callers see: the same where each process hears only some of the others, and
// goes on by what those have counted.
func TestPropertyWhoServesByCountsHasWhatWasAccepted(t *testing.T) {
	runs(t, "1000")
	checkWorld(t, []string{"e1", "e2", "e3", "e4", "e5", "a1", "a2", "e6"}, true)
}

func checkWorld(t *testing.T, vms []string, sparse bool) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(vms)
		listChanges := rapid.Bool().Draw(rt, "list changes")
		if sparse {
			w.links = rapid.Uint64().Draw(rt, "links") | rapid.Uint64().Draw(rt, "more links")
			if !listChanges {
				w.slack = 0
			}
			w.begin()
		}
		cut := rapid.IntRange(0, w.all()).Draw(rt, "cut")
		rt.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 5).Draw(t, "quarters")) * limit / 4
			},
			"log": func(t *rapid.T) {
				for _, i := range w.island(t, cut) {
					w.read(i)()
				}
			},
			"peers": func(t *rapid.T) {
				in := w.island(t, cut)
				for _, i := range in {
					for _, j := range in {
						w.exchange(i, j)()
					}
				}
			},
			"acknowledge": func(t *rapid.T) {
				for _, i := range w.island(t, cut) {
					w.acknowledge(i)()
				}
			},
			"send": func(t *rapid.T) { w.late = append(w.late, w.capture(t)) },
			"arrive": func(t *rapid.T) {
				if len(w.late) > 0 {
					rapid.SampledFrom(w.late).Draw(t, "message")()
				}
			},
			"publish": func(t *rapid.T) {
				w.publish()
				for _, i := range w.island(t, cut) {
					w.read(i)()
				}
			},
			"list": func(t *rapid.T) {
				if !listChanges {
					t.Skip("the list stays as it is")
				}
				w.changeList(t)
				for _, i := range w.island(t, cut) {
					w.processes[i].list(w.newList())
				}
				if rapid.Bool().Draw(t, "observer") {
					w.observe()
				}
			},
			"replace": func(t *rapid.T) { w.replace(rapid.IntRange(0, w.listed).Draw(t, "process")) },
			"":        w.check,
		})
	})
}
