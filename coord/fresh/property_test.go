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

// TestMain fixes the seed of the property tests, unless -rapid.seed sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if isDefaultSeed = flag.Lookup("rapid.seed").Value.String() == "0"; isDefaultSeed {
		_ = flag.Set("rapid.seed", "11")
		_ = flag.Set("rapid.checks", "6000")
		_ = flag.Set("rapid.steps", "50")
	}
	os.Exit(m.Run())
}

// isDefaultSeed is true if the fixed seed is in use, as in CI.
var isDefaultSeed bool

// setChecks sets the number of runs of a property whose faults show early, unless a seed was given.
func setChecks(t *testing.T, checks string) {
	if before := flag.Lookup("rapid.checks").Value.String(); isDefaultSeed {
		_ = flag.Set("rapid.checks", checks)
		t.Cleanup(func() { _ = flag.Set("rapid.checks", before) })
	}
}

// smallCluster holds the VMs of a small cluster. All but the last are in the VM list at first.
var smallCluster = []string{"e1", "e2", "e3", "a1", "a2", "e4"}

// process is one incarnation on a VM.
type process struct {
	vm      string
	role    api.Role
	born    time.Duration
	applied int64
	tracker *Tracker
}

// cluster simulates entries and agents with the platform's log, and one change that an observer
// follows until it is accepted. The VM list changes once: a VM is removed, or an entry joins. Each
// process and the observer may learn of that at different times.
type cluster struct {
	vms        []string
	listed     int    // how many of vms are listed at first
	links      uint64 // bit set of the pairs that hear each other
	minSlack   int    // of counts
	now        time.Duration
	tail       int64
	processes  []*process
	acceptance *config.Acceptance
	acceptedAt map[int64]time.Duration
	delayed    []func() // messages in flight; each may arrive many times
	removed    int      // index of the removed VM, -1 for none
	joined     bool
}

func newCluster(vms []string) *cluster {
	c := &cluster{
		vms: vms, listed: len(vms) - 1, links: ^uint64(0), minSlack: minSlack, removed: -1,
		acceptedAt: make(map[int64]time.Duration), processes: make([]*process, len(vms)),
	}
	c.replaceAll()
	return c
}

func (c *cluster) replaceAll() {
	for i := range c.processes {
		c.replace(i)
	}
}

func (c *cluster) replace(i int) {
	p := &process{vm: c.vms[i], role: api.Role_ROLE_ENTRY, born: c.now, applied: noOffset, tracker: New(c.vms[i], limit)}
	p.tracker.counts.minSlack = c.minSlack
	if p.vm[0] == 'a' {
		p.role = api.Role_ROLE_AGENT
	}
	p.setVMs(c.vms[:c.listed])
	c.processes[i] = p
}

// setVMs sets the VM list of a process.
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

// currentVMs returns the VM list, after its change if that has been made.
func (c *cluster) currentVMs() []string {
	members := slices.Clone(c.vms[:c.listed])
	if c.joined {
		return c.vms
	}
	if c.removed >= 0 {
		return slices.Delete(members, c.removed, c.removed+1)
	}
	return members
}

// changeList makes the one change of the VM list unless it has been made.
func (c *cluster) changeList(t *rapid.T) {
	if c.joined || c.removed >= 0 {
		return
	}
	if change := rapid.IntRange(0, c.listed).Draw(t, "change"); change < c.listed {
		c.removed = change
	} else {
		c.joined = true
	}
}

// updateObserver gives the observer the current VM list.
func (c *cluster) updateObserver() {
	if c.acceptance == nil {
		return
	}
	for i, p := range c.processes {
		if slices.Contains(c.currentVMs(), p.vm) {
			c.acceptance.ExpectMember(p.vm, p.role)
		} else if i == c.removed {
			c.acceptance.RemoveMember(p.vm)
		}
	}
}

// captureExchange captures a message from one process to another, to be delivered now or later.
func (c *cluster) captureExchange(i, j int) func() {
	to, from := c.processes[i], c.processes[j]
	at := c.now - to.born
	k := from.tracker.Knowledge(c.now-from.born, from.applied)
	counts := from.tracker.Counts(c.now - from.born)
	return func() {
		if c.processes[i] != to || c.links&(1<<(8*min(i, j)+max(i, j))) == 0 {
			return
		}
		to.applied = max(to.applied, k.GetApplied())
		to.tracker.HandleKnowledge(from.vm, at, k, to.applied)
		if counts != nil && from.role == api.Role_ROLE_ENTRY {
			to.tracker.HandleCounts(from.vm, at, counts, to.applied)
		}
	}
}

func (c *cluster) allVMs() int { return 1<<len(c.vms) - 1 }

// captureLogRead captures a response of the log.
func (c *cluster) captureLogRead(i int) func() {
	p, at, tail := c.processes[i], c.now-c.processes[i].born, c.tail
	return func() {
		p.applied = max(p.applied, tail)
		p.tracker.SetApplied(p.applied)
		if p.applied == tail {
			p.tracker.ConfirmTail(at)
		}
	}
}

// captureAcknowledgement captures what a process reports to the observer.
func (c *cluster) captureAcknowledgement(i int) func() {
	p, at, applied, acceptance := c.processes[i], c.now, c.processes[i].applied, c.acceptance
	return func() {
		if acceptance != nil && slices.Contains(c.currentVMs(), p.vm) {
			acceptance.UpdateMember(p.vm, p.role, applied, at)
		}
	}
}

func (c *cluster) publish() {
	if _, done := c.acceptedAt[c.tail]; c.acceptance != nil && !done {
		return
	}
	c.tail++
	c.acceptance = config.NewAcceptance(c.tail, limit, c.now)
	for _, p := range c.processes[:c.listed] {
		c.acceptance.ExpectMember(p.vm, p.role)
	}
}

// captureMessage captures a message of any kind.
func (c *cluster) captureMessage(t *rapid.T) func() {
	i, j := rapid.IntRange(0, c.listed).Draw(t, "to"), rapid.IntRange(0, c.listed).Draw(t, "from")
	if i == c.removed || j == c.removed {
		t.Skip("gone")
	}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return c.captureLogRead(i)
	case 1:
		return c.captureAcknowledgement(i)
	}
	return c.captureExchange(i, j)
}

// drawGroup draws the processes that take part in a step: one side of the partition, the other
// side, all, or any subset.
func (c *cluster) drawGroup(t *rapid.T, cut int) []int {
	bits := rapid.SampledFrom([]int{cut, cut, c.allVMs() &^ cut, c.allVMs() &^ cut, c.allVMs(), -1}).Draw(t, "island")
	if bits < 0 {
		bits = rapid.IntRange(0, c.allVMs()).Draw(t, "members")
	}
	var indexes []int
	for i := range c.vms {
		if bits&(1<<i) != 0 && i != c.removed {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (c *cluster) check(t *rapid.T) {
	if c.acceptance != nil {
		if state, _ := c.acceptance.State(c.now); state != config.Pending {
			if _, known := c.acceptedAt[c.tail]; !known {
				c.acceptedAt[c.tail] = c.now
			}
		}
	}
	for offset, at := range c.acceptedAt {
		for i, p := range c.processes {
			serves := p.tracker.State(c.now - p.born).Serves()
			if i != c.removed && c.now > at+limit && serves && p.applied < offset {
				t.Fatalf("at %v %s serves with offset %d; %d was accepted at %v", c.now, p.vm, p.applied, offset, at)
			}
		}
	}
}

// Once the freshness limit has passed after an operator was told "accepted", no process may serve
// without the change. The log is out for some or all processes, the network is partitioned,
// processes are replaced and lose their state, or are paused; messages and responses of the log
// arrive late, twice or never.
func TestPropertyServingProcessesHoldAcceptedChanges(t *testing.T) {
	checkCluster(t, smallCluster, false)
}

// The same holds where each process hears only some of the others and serves by what those have
// counted.
func TestPropertyServingByCountsHoldsAcceptedChanges(t *testing.T) {
	setChecks(t, "1000")
	checkCluster(t, []string{"e1", "e2", "e3", "e4", "e5", "a1", "a2", "e6"}, true)
}

func checkCluster(t *testing.T, vms []string, sparse bool) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(vms)
		listChanges := rapid.Bool().Draw(rt, "list changes")
		if sparse {
			c.links = rapid.Uint64().Draw(rt, "links") | rapid.Uint64().Draw(rt, "more links")
			if !listChanges {
				c.minSlack = 0
			}
			c.replaceAll()
		}
		cut := rapid.IntRange(0, c.allVMs()).Draw(rt, "cut")
		rt.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				c.now += time.Duration(rapid.IntRange(1, 5).Draw(t, "quarters")) * limit / 4
			},
			"log": func(t *rapid.T) {
				for _, i := range c.drawGroup(t, cut) {
					c.captureLogRead(i)()
				}
			},
			"peers": func(t *rapid.T) {
				group := c.drawGroup(t, cut)
				for _, i := range group {
					for _, j := range group {
						c.captureExchange(i, j)()
					}
				}
			},
			"acknowledge": func(t *rapid.T) {
				for _, i := range c.drawGroup(t, cut) {
					c.captureAcknowledgement(i)()
				}
			},
			"send": func(t *rapid.T) { c.delayed = append(c.delayed, c.captureMessage(t)) },
			"arrive": func(t *rapid.T) {
				if len(c.delayed) > 0 {
					rapid.SampledFrom(c.delayed).Draw(t, "message")()
				}
			},
			"publish": func(t *rapid.T) {
				c.publish()
				for _, i := range c.drawGroup(t, cut) {
					c.captureLogRead(i)()
				}
			},
			"list": func(t *rapid.T) {
				if !listChanges {
					t.Skip("the list stays as it is")
				}
				c.changeList(t)
				for _, i := range c.drawGroup(t, cut) {
					c.processes[i].setVMs(c.currentVMs())
				}
				if rapid.Bool().Draw(t, "observer") {
					c.updateObserver()
				}
			},
			"replace": func(t *rapid.T) { c.replace(rapid.IntRange(0, c.listed).Draw(t, "process")) },
			"":        c.check,
		})
	})
}
