package mapswitch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simRank simulates one rank of an engine: it carries out its orders, and compares nothing with
// other ranks.
type simRank struct {
	status         Status
	highestVersion int64 // the highest version prepared
	fence          int64
	content        map[int64]int64 // by version, the fence of the coordinator that made it
}

// simOrder is an order in transit.
type simOrder struct {
	Order
	fence, content int64
	due            int
}

type sim struct {
	t         *rapid.T
	ranks     []*simRank
	fenced    bool
	inTransit []simOrder
	now       int
	epochs    int64
	history   []string
	// pastReports holds the reports of the last steps, newest last.
	pastReports [][]Status
	// otherCoordinator is a coordinator that may act while another one reads the ranks; nil for
	// none.
	otherCoordinator *simCoordinator
}

func (s *sim) record(format string, args ...any) {
	s.history = append(s.history, fmt.Sprintf("%4d ", s.now)+fmt.Sprintf(format, args...))
}

// apply carries out an order as the engines do.
func (s *sim) apply(o simOrder) bool {
	r := s.ranks[o.Rank]
	if o.Epoch != r.status.Epoch || s.fenced && o.fence < r.fence {
		return false
	}
	r.fence = max(r.fence, o.fence)
	switch o.Kind {
	case Prepare:
		if o.Version <= r.highestVersion || r.status.Armed != nil {
			return r.status.Prepared == o.Version
		}
		r.highestVersion = o.Version
		r.status.Prepared = o.Version
		r.content[o.Version] = o.content
	case Hold:
		if r.status.Held != nil || o.Step <= r.status.Step {
			return false
		}
		step := o.Step
		r.status.Held = &step
	case Arm:
		if r.status.Armed != nil {
			return *r.status.Armed == Arming{o.Version, o.Step}
		}
		if r.status.Prepared != o.Version || o.Step <= r.status.Step {
			return false
		}
		r.status.Armed = &Arming{o.Version, o.Step}
	case Disarm:
		if r.status.Map == o.Version {
			return false
		}
		if a := r.status.Armed; a != nil && a.Version == o.Version {
			r.status.Armed = nil
		}
	case ReleaseHold:
		if r.status.Held != nil && *r.status.Held == o.Step {
			r.status.Held = nil
		}
	}
	return true
}

// beginPass begins the next pass unless the group is held, and checks that all ranks use the same
// map in it.
func (s *sim) beginPass() {
	next := s.ranks[0].status.Step + 1
	for _, r := range s.ranks {
		if r.status.Held != nil && *r.status.Held == next {
			return
		}
	}
	for _, r := range s.ranks {
		r.status.Step = next
		if a := r.status.Armed; a != nil && a.Step == next {
			r.status.Map = a.Version
			r.status.Armed = nil
			r.status.Prepared = 0
		}
	}
	first := s.ranks[0]
	for i, r := range s.ranks {
		if r.status.Map != first.status.Map || r.content[r.status.Map] != first.content[first.status.Map] {
			s.t.Fatalf("pass %d begins with map %d (%d) at rank 0 and %d (%d) at rank %d\n%v", next,
				first.status.Map, first.content[first.status.Map], r.status.Map, r.content[r.status.Map], i, s.history)
		}
	}
}

// restart restarts the group in a new epoch, without the state of the last.
func (s *sim) restart() {
	s.epochs++
	for _, r := range s.ranks {
		*r = simRank{status: Status{Epoch: s.epochs}, content: map[int64]int64{}}
	}
}

func (s *sim) deliver() {
	kept := s.inTransit[:0]
	for _, o := range s.inTransit {
		if o.due <= s.now {
			s.record("carried out %v: %v", o, s.apply(o))
			continue
		}
		kept = append(kept, o)
	}
	s.inTransit = kept
}

func (s *sim) statuses() []Status {
	out := make([]Status, len(s.ranks))
	for i, r := range s.ranks {
		out[i] = r.status
		if r.status.Held != nil {
			held := *r.status.Held
			out[i].Held = &held
		}
		if r.status.Armed != nil {
			armed := *r.status.Armed
			out[i].Armed = &armed
		}
	}
	return out
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// interleave draws what happens between the answers of two ranks that were asked at the same time.
func (s *sim) interleave() {
	if rapid.IntRange(0, 3).Draw(s.t, "passes meanwhile") == 0 {
		s.beginPass()
	}
	if len(s.inTransit) > 0 && rapid.IntRange(0, 3).Draw(s.t, "arrives meanwhile") == 0 {
		n := rapid.IntRange(0, len(s.inTransit)-1).Draw(s.t, "which")
		o := s.inTransit[n]
		s.inTransit = append(s.inTransit[:n:n], s.inTransit[n+1:]...)
		s.record("carried out meanwhile %v: %v", o, s.apply(o))
	}
	if other := s.otherCoordinator; other != nil && rapid.IntRange(0, 3).Draw(s.t, "acts meanwhile") == 0 {
		s.otherCoordinator = nil
		s.step(other)
		s.otherCoordinator = other
	}
}

// readRanks returns what a coordinator sees: the ranks' answers to one question, each from a moment
// of its own. One rank may be read over the network, with a stale report.
func (s *sim) readRanks() []Status {
	now := make([]Status, len(s.ranks))
	for _, i := range rapid.Permutation(indices(len(s.ranks))).Draw(s.t, "order") {
		s.interleave()
		now[i] = s.statuses()[i]
	}
	s.pastReports = append(s.pastReports, s.statuses())
	s.pastReports = s.pastReports[max(0, len(s.pastReports)-4):]
	remote := rapid.IntRange(0, 3*len(now)).Draw(s.t, "far")
	if remote >= len(now) {
		return now
	}
	old := s.pastReports[rapid.IntRange(0, len(s.pastReports)-1).Draw(s.t, "age")]
	seen := append([]Status(nil), now...)
	seen[remote] = old[remote]
	seen[remote].Stale = true
	return seen
}

// simCoordinator drives a Machine. Several may act as coordinator.
type simCoordinator struct {
	machine *Machine
	fence   int64
	targets int64
	target  int64
	// isTakenOver means that the target was prepared by an earlier coordinator.
	isTakenOver bool
}

func (c *simCoordinator) chooseTarget() {
	c.targets++
	c.target = c.fence<<8 + c.targets
	c.isTakenOver = false
}

// takeOver takes a version that all ranks have prepared as target, if there is one.
func (s *sim) takeOver(c *simCoordinator) {
	if version := PreparedByAll(s.readRanks()); version != 0 {
		c.target, c.isTakenOver = version, true
		s.record("fence %d takes over %d", c.fence, version)
	}
}

// step lets a coordinator read the ranks and send its orders, each of which is carried out at once,
// carried out late or lost. The coordinator continues with the answers that it gets.
func (s *sim) step(c *simCoordinator) {
	seen := s.readRanks()
	for range 3 {
		d := c.machine.Decide(time.Duration(s.now)*100*time.Millisecond, seen, c.target)
		if d.NeedsNewTarget {
			c.chooseTarget()
		}
		if len(d.Orders) == 0 {
			return
		}
		for _, o := range d.Orders {
			if o.Kind == Prepare && c.isTakenOver {
				c.chooseTarget()
				return
			}
			if s.send(c, o) {
				if o.Kind == Claim {
					c.machine.ClaimAccepted(o.Rank, o.Epoch)
				}
				seen[o.Rank] = s.statusAfter(seen[o.Rank], o)
			}
		}
	}
}

// statusAfter returns what a coordinator knows of a rank that has answered an order.
func (s *sim) statusAfter(before Status, o Order) Status {
	if !before.Stale {
		return s.statuses()[o.Rank]
	}
	if o.Kind == Arm {
		before.Armed = &Arming{o.Version, o.Step}
		before.Stale = false
	}
	return before
}

// send sends one order, and returns whether the rank answered that it carried it out.
func (s *sim) send(c *simCoordinator, o Order) bool {
	order := simOrder{Order: o, fence: c.fence, content: c.fence}
	switch rapid.IntRange(0, 9).Draw(s.t, "fate") {
	case 0:
		s.record("fence %d lost %v", c.fence, o)
		return false
	case 1, 2:
		order.due = s.now + rapid.IntRange(1, 40).Draw(s.t, "late")
		s.inTransit = append(s.inTransit, order)
		s.record("fence %d late %v, at %d", c.fence, o, order.due)
		return false
	default:
		accepted := s.apply(order)
		s.record("fence %d %v: %v", c.fence, o, accepted)
		return accepted
	}
}

// newMachine returns a machine for a group with short or long passes, which are held one or several
// passes ahead.
func newMachine(t *rapid.T) *Machine {
	m := New(Config{})
	if rapid.Bool().Draw(t, "long passes") {
		m.SetPassTime(m.cfg.LongPass)
	}
	return m
}

// Each rank gets its own orders, some of which are lost or carried out seconds late. Coordinators
// die in the middle of a switch and others take over, and the group restarts. No pass may begin
// with two maps: callers would get wrong output that looks complete.
func TestNoPassWithTwoMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sim{t: t, fenced: rapid.Bool().Draw(t, "fenced")}
		for range rapid.IntRange(2, 4).Draw(t, "ranks") {
			s.ranks = append(s.ranks, &simRank{})
		}
		s.restart()
		fence := int64(1)
		c := &simCoordinator{machine: newMachine(t), fence: fence}
		c.chooseTarget()
		// previous is a coordinator that may not know yet that another one has taken over.
		previous := c
		for s.now = range rapid.IntRange(20, 300).Draw(t, "length") {
			s.deliver()
			both := previous != c && s.fenced && rapid.Bool().Draw(t, "both")
			if both {
				s.otherCoordinator = previous
			}
			s.step(c)
			if both {
				s.otherCoordinator = c
				s.step(previous)
			}
			s.otherCoordinator = nil
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 0:
				// Another coordinator takes over; orders of this one may still be in transit.
				fence++
				previous = c
				c = &simCoordinator{machine: newMachine(t), fence: fence}
				c.chooseTarget()
				s.record("coordinator %d", fence)
				if rapid.Bool().Draw(t, "takes over") {
					s.takeOver(c)
				}
			case 1:
				c.chooseTarget()
			case 2:
				s.restart()
				s.record("epoch %d", s.epochs)
			}
			for range rapid.IntRange(0, 2).Draw(t, "passes") {
				s.beginPass()
			}
		}
	})
}

// Whatever state a dead coordinator left behind, a coordinator whose orders arrive brings the group
// to its target, and the passes continue.
func TestSwitchCompletesAfterTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sim{t: t, fenced: true}
		for range 3 {
			s.ranks = append(s.ranks, &simRank{})
		}
		s.restart()
		old := &simCoordinator{machine: New(Config{}), fence: 1}
		old.chooseTarget()
		for s.now = range rapid.IntRange(0, 20).Draw(t, "before") {
			s.deliver()
			s.step(old)
			s.beginPass()
		}
		s.inTransit = nil
		c := &simCoordinator{machine: New(Config{}), fence: 2}
		c.chooseTarget()
		from := s.now
		for s.now = from; s.now < from+200; s.now++ {
			d := c.machine.Decide(time.Duration(s.now)*100*time.Millisecond, s.statuses(), c.target)
			if d.NeedsNewTarget {
				c.chooseTarget()
			}
			for _, o := range d.Orders {
				if s.apply(simOrder{Order: o, fence: 2, content: 2}) && o.Kind == Claim {
					c.machine.ClaimAccepted(o.Rank, o.Epoch)
				}
			}
			s.beginPass()
		}
		if got := s.ranks[0].status; got.Map != c.target || got.Held != nil {
			t.Fatalf("ends with %+v, target %d\n%v", got, c.target, s.history)
		}
	})
}
