package urgency_test

import (
	"fmt"
	"maps"
	"math"
	"testing"
	"time"

	"github.com/apricothub/apricothub/decide/urgency"
)

const (
	urgent = iota
	usual
	bulk
)

// given returns how many requests of a priority may run.
func given(d urgency.Demand, r urgency.Ratios, priority int) int {
	if ratio, isLimited := r[priority]; isLimited {
		return int(math.Round(ratio * float64(d[priority])))
	}
	return d[priority]
}

func TestDivide(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand urgency.Demand
		slots  int
		want   map[int]int
	}{
		{"all fit", urgency.Demand{urgent: 50, bulk: 50}, 100, map[int]int{urgent: 50, bulk: 50}},
		{"bulk in surplus", urgency.Demand{urgent: 30, usual: 40, bulk: 200}, 100, map[int]int{urgent: 30, usual: 40, bulk: 30}},
		{"all kinds in surplus", urgency.Demand{urgent: 60, usual: 80, bulk: 40}, 100, map[int]int{urgent: 60, usual: 30, bulk: 10}},
		{"flood of urgent requests leaves the floors", urgency.Demand{urgent: 900, usual: 50, bulk: 50}, 100, map[int]int{urgent: 80, usual: 10, bulk: 10}},
		{"a kind with less than its floor runs whole", urgency.Demand{urgent: 900, usual: 3}, 100, map[int]int{urgent: 97, usual: 3}},
		{"room for one", urgency.Demand{urgent: 5, bulk: 5}, 1, map[int]int{urgent: 1, bulk: 0}},
		{"no slots are known", urgency.Demand{urgent: 5}, 0, map[int]int{urgent: 5}},
	} {
		ratios := urgency.Divide(c.demand, c.slots)
		got := make(map[int]int)
		for p := range c.want {
			got[p] = given(c.demand, ratios, p)
		}
		if !maps.Equal(got, c.want) {
			t.Errorf("%s: %v may run, want %v", c.name, got, c.want)
		}
	}
}

// cluster is a group of entries that start requests by what they know of each other's demand, which is
// a heartbeat old.
type cluster struct {
	slots int
	// demands is the demand of each entry now, tables what each knows of the others.
	demands []urgency.Demand
	tables  []*urgency.Table
}

func newCluster(slots int, demands ...urgency.Demand) *cluster {
	c := &cluster{slots: slots, demands: demands}
	for range demands {
		c.tables = append(c.tables, urgency.NewTable())
	}
	return c
}

// exchange lets each entry hear of all others.
func (c *cluster) exchange(now time.Duration) {
	for i, table := range c.tables {
		for j, demand := range c.demands {
			if i != j {
				table.Set(fmt.Sprint(j), maps.Clone(demand), now)
			}
		}
	}
}

// running returns how many requests run, by priority, of all entries.
func (c *cluster) running(now time.Duration) map[int]int {
	sum := make(map[int]int)
	for i, demand := range c.demands {
		ratios := c.tables[i].Ratios(demand, c.slots, now)
		for p := range demand {
			sum[p] += given(demand, ratios, p)
		}
	}
	return sum
}

// Some entries have urgent requests, others bulk alone. If each divided its own part of the slots, bulk
// would run at the one while urgent requests wait at the other.
func TestBulkYieldsToUrgentRequestsOfOtherEntries(t *testing.T) {
	c := newCluster(200,
		urgency.Demand{urgent: 100}, urgency.Demand{urgent: 60, bulk: 10},
		urgency.Demand{bulk: 100}, urgency.Demand{bulk: 90})
	c.exchange(0)
	if got := c.running(0); got[urgent] != 160 || got[bulk] < 35 || got[bulk] > 45 {
		t.Errorf("%v run in 200 slots, want 160 urgent ones and about 40 of bulk", got)
	}
}

// Bulk arrives in a burst between two heartbeats. Until the others know, more runs than there are slots;
// after one exchange it fits.
func TestABurstFitsAfterOneExchange(t *testing.T) {
	c := newCluster(100, urgency.Demand{urgent: 20}, urgency.Demand{urgent: 20}, urgency.Demand{urgent: 20})
	c.exchange(0)
	for i := range c.demands {
		c.demands[i][bulk] = 80
	}
	if got := c.running(200 * time.Millisecond); got[urgent] != 60 {
		t.Errorf("%v run: urgent requests do not", got)
	}
	c.exchange(400 * time.Millisecond)
	if got := c.running(400 * time.Millisecond); got[urgent] != 60 || got[urgent]+got[bulk] > 103 {
		t.Errorf("%v run in 100 slots", got)
	}
}

// Half of the servers are lost in the middle of a burst. The most urgent requests keep running.
func TestHalfOfTheRoomIsLost(t *testing.T) {
	c := newCluster(200, urgency.Demand{urgent: 50, usual: 40, bulk: 60}, urgency.Demand{urgent: 30, usual: 60, bulk: 60})
	c.exchange(0)
	c.slots = 100
	if got := c.running(0); got[urgent] != 80 || got[usual]+got[bulk] > 23 {
		t.Errorf("%v run in 100 slots, want 80 urgent ones", got)
	}
}

// An entry is lost, or cut off. What it had running ends soon: it must not keep slots for long, and an
// entry that hears nobody must serve what it has.
func TestSilentEntriesCountForAMoment(t *testing.T) {
	c := newCluster(100, urgency.Demand{bulk: 80}, urgency.Demand{urgent: 60})
	c.exchange(0)
	if got := c.tables[0].Ratios(c.demands[0], c.slots, 1200*time.Millisecond); got == nil {
		t.Error("the other entry does not count while its last heartbeat is recent")
	}
	if got := c.tables[0].Ratios(c.demands[0], c.slots, 1201*time.Millisecond); got != nil {
		t.Errorf("the other entry still counts after its silence: %v", got)
	}
}

// An entry has room again and no longer tells its demand.
func TestDemandThatIsNoLongerToldIsForgotten(t *testing.T) {
	c := newCluster(100, urgency.Demand{bulk: 80}, urgency.Demand{urgent: 60})
	c.exchange(0)
	c.tables[0].Set("1", nil, 0)
	if got := c.tables[0].Ratios(c.demands[0], c.slots, 0); got != nil {
		t.Errorf("the demand still counts: %v", got)
	}
}
