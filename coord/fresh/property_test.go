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
	if isDefaultSeed = flag.Lookup("rapid.seed").Value.String() == "0"; isDefaultSeed {
		_ = flag.Set("rapid.seed", "11")
		_ = flag.Set("rapid.checks", "6000")
		_ = flag.Set("rapid.steps", "50")
	}
	os.Exit(m.Run())
}

// isDefaultSeed says that the seed is the one of CI.
var isDefaultSeed bool

// setChecks sets the number of setChecks of a property whose faults show early, in CI.
func setChecks(t *testing.T, checks string) {
	if before := flag.Lookup("rapid.checks").Value.String(); isDefaultSeed {
		_ = flag.Set("rapid.checks", checks)
		t.Cleanup(func() { _ = flag.Set("rapid.checks", before) })
	}
}

// smallCluster are the VMs of a test: all but the last stand in the VM list at first.
var smallCluster = []string{"e1", "e2", "e3", "a1", "a2", "e4"}

// process is one incarnation on a VM.
type process struct {
	vm      string
	role    api.Role
	born    time.Duration
	applied int64
	tracker *Tracker
}

// cluster is a cluster of three entries and two agents with the platform's log, and
// one change that an observer follows until it is accepted. The VM list changes
// once: one VM is gone for good, or a fourth entry joins. Each process, and the
// observer, may learn of that at another time.
type cluster struct {
	vms        []string
	listed     int    // of them at first
	links      uint64 // the pairs that hear each other, bit by bit
	minSlack   int    // of counts
	now        time.Duration
	tail       int64
	processes  []*process
	acceptance *config.Acceptance
	acceptedAt map[int64]time.Duration
	delayed    []func() // messages on their way; each may arrive many times
	removed    int      // the VM that is gone, -1 for none
	joined     bool
}

func newCluster(vms []string) *cluster {
	w := &cluster{
		vms: vms, listed: len(vms) - 1, links: ^uint64(0), minSlack: minSlack, removed: -1,
		acceptedAt: make(map[int64]time.Duration), processes: make([]*process, len(vms)),
	}
	w.replaceAll()
	return w
}

// replaceAll replaces all processes.
func (w *cluster) replaceAll() {
	for i := range w.processes {
		w.replace(i)
	}
}

func (w *cluster) replace(i int) {
	p := &process{vm: w.vms[i], role: api.Role_ROLE_ENTRY, born: w.now, applied: noOffset, tracker: New(w.vms[i], limit)}
	p.tracker.counts.minSlack = w.minSlack
	if p.vm[0] == 'a' {
		p.role = api.Role_ROLE_AGENT
	}
	p.setVMs(w.vms[:w.listed])
	w.processes[i] = p
}

// setVMs gives a process the VM setVMs.
func (p *process) setVMs(members []string) {
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

// currentVMs returns the VM list after its one change.
func (w *cluster) currentVMs() []string {
	members := slices.Clone(w.vms[:w.listed])
	if w.joined {
		return w.vms
	}
	if w.removed >= 0 {
		return slices.Delete(members, w.removed, w.removed+1)
	}
	return members
}

// changeList makes the one change of the list, if it was not made yet.
func (w *cluster) changeList(t *rapid.T) {
	if w.joined || w.removed >= 0 {
		return
	}
	if change := rapid.IntRange(0, w.listed).Draw(t, "change"); change < w.listed {
		w.removed = change
	} else {
		w.joined = true
	}
}

// updateObserver tells the observer of the new list.
func (w *cluster) updateObserver() {
	if w.acceptance == nil {
		return
	}
	for i, p := range w.processes {
		if slices.Contains(w.currentVMs(), p.vm) {
			w.acceptance.ExpectMember(p.vm, p.role)
		} else if i == w.removed {
			w.acceptance.RemoveMember(p.vm)
		}
	}
}

// captureExchange captures what one process hears from another, for now or for later.
func (w *cluster) captureExchange(i, j int) func() {
	to, from := w.processes[i], w.processes[j]
	at := w.now - to.born
	k := from.tracker.Knowledge(w.now-from.born, from.applied)
	counts := from.tracker.Counts(w.now - from.born)
	return func() {
		if w.processes[i] != to || w.links&(1<<(8*min(i, j)+max(i, j))) == 0 {
			return
		}
		to.applied = max(to.applied, k.GetApplied())
		to.tracker.HandleKnowledge(from.vm, at, k, to.applied)
		if counts != nil && from.role == api.Role_ROLE_ENTRY {
			to.tracker.HandleCounts(from.vm, at, counts, to.applied)
		}
	}
}

func (w *cluster) allVMs() int { return 1<<len(w.vms) - 1 }

// captureLogRead captures an answer of the log.
func (w *cluster) captureLogRead(i int) func() {
	p, at, tail := w.processes[i], w.now-w.processes[i].born, w.tail
	return func() {
		p.applied = max(p.applied, tail)
		p.tracker.SetApplied(p.applied)
		if p.applied == tail {
			p.tracker.ConfirmTail(at)
		}
	}
}

// captureAcknowledgement captures what the observer hears from a process.
func (w *cluster) captureAcknowledgement(i int) func() {
	p, at, applied, acceptance := w.processes[i], w.now, w.processes[i].applied, w.acceptance
	return func() {
		if acceptance != nil && slices.Contains(w.currentVMs(), p.vm) {
			acceptance.UpdateMember(p.vm, p.role, applied, at)
		}
	}
}

func (w *cluster) publish() {
	if _, done := w.acceptedAt[w.tail]; w.acceptance != nil && !done {
		return
	}
	w.tail++
	w.acceptance = config.NewAcceptance(w.tail, limit, w.now)
	for _, p := range w.processes[:w.listed] {
		w.acceptance.ExpectMember(p.vm, p.role)
	}
}

// captureMessage draws a message of any kind.
func (w *cluster) captureMessage(t *rapid.T) func() {
	i, j := rapid.IntRange(0, w.listed).Draw(t, "to"), rapid.IntRange(0, w.listed).Draw(t, "from")
	if i == w.removed || j == w.removed {
		t.Skip("gone")
	}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return w.captureLogRead(i)
	case 1:
		return w.captureAcknowledgement(i)
	}
	return w.captureExchange(i, j)
}

// drawGroup draws who takes part in something: one side of the cut, the other, all, or
// any others.
func (w *cluster) drawGroup(t *rapid.T, cut int) []int {
	bits := rapid.SampledFrom([]int{cut, cut, w.allVMs() &^ cut, w.allVMs() &^ cut, w.allVMs(), -1}).Draw(t, "island")
	if bits < 0 {
		bits = rapid.IntRange(0, w.allVMs()).Draw(t, "members")
	}
	var indexes []int
	for i := range w.vms {
		if bits&(1<<i) != 0 && i != w.removed {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (w *cluster) check(t *rapid.T) {
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
			if i != w.removed && w.now > at+limit && serves && p.applied < offset {
				t.Fatalf("at %v %s serves with offset %d; %d was accepted at %v", w.now, p.vm, p.applied, offset, at)
			}
		}
	}
}

// What the callers see: past the freshness limit after an operator was told
// "accepted", no process serves without the change. The log is out for some or all,
// processes see each other in islands, are replaced and forget, or stand still while
// time goes on; messages and answers of the log arrive late, twice or never.
func TestPropertyServingProcessesHoldAcceptedChanges(t *testing.T) {
	checkCluster(t, smallCluster, false)
}

// What the callers see: the same where each process hears only some of the others, and
// goes on by what those have counted.
func TestPropertyServingByCountsHoldsAcceptedChanges(t *testing.T) {
	setChecks(t, "1000")
	checkCluster(t, []string{"e1", "e2", "e3", "e4", "e5", "a1", "a2", "e6"}, true)
}

func checkCluster(t *testing.T, vms []string, sparse bool) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newCluster(vms)
		listChanges := rapid.Bool().Draw(rt, "list changes")
		if sparse {
			w.links = rapid.Uint64().Draw(rt, "links") | rapid.Uint64().Draw(rt, "more links")
			if !listChanges {
				w.minSlack = 0
			}
			w.replaceAll()
		}
		cut := rapid.IntRange(0, w.allVMs()).Draw(rt, "cut")
		rt.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 5).Draw(t, "quarters")) * limit / 4
			},
			"log": func(t *rapid.T) {
				for _, i := range w.drawGroup(t, cut) {
					w.captureLogRead(i)()
				}
			},
			"peers": func(t *rapid.T) {
				group := w.drawGroup(t, cut)
				for _, i := range group {
					for _, j := range group {
						w.captureExchange(i, j)()
					}
				}
			},
			"acknowledge": func(t *rapid.T) {
				for _, i := range w.drawGroup(t, cut) {
					w.captureAcknowledgement(i)()
				}
			},
			"send": func(t *rapid.T) { w.delayed = append(w.delayed, w.captureMessage(t)) },
			"arrive": func(t *rapid.T) {
				if len(w.delayed) > 0 {
					rapid.SampledFrom(w.delayed).Draw(t, "message")()
				}
			},
			"publish": func(t *rapid.T) {
				w.publish()
				for _, i := range w.drawGroup(t, cut) {
					w.captureLogRead(i)()
				}
			},
			"list": func(t *rapid.T) {
				if !listChanges {
					t.Skip("the list stays as it is")
				}
				w.changeList(t)
				for _, i := range w.drawGroup(t, cut) {
					w.processes[i].setVMs(w.currentVMs())
				}
				if rapid.Bool().Draw(t, "observer") {
					w.updateObserver()
				}
			},
			"replace": func(t *rapid.T) { w.replace(rapid.IntRange(0, w.listed).Draw(t, "process")) },
			"":        w.check,
		})
	})
}
