package experts

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
)

// newTestMembers returns the ranks of a group with the given passes begun and counts per rank.
func newTestMembers(open bool, step int64, counts []int64) []*member {
	members := make([]*member, groupSize)
	for rank := range members {
		members[rank] = &member{
			engine: Engine{ID: string(rune('a' + rank)), Config: engineConfig, MaxPause: time.Second},
			reply: &api.RankReply{Counts: counts, State: &api.RankState{
				Group: "g", Size: groupSize, Rank: int32(rank), Epoch: 2, Born: 7, Open: open, Step: step,
			}},
		}
	}
	return members
}

// uniformCounts returns the counts of a rank whose requests chose each expert n times, and the first
// one popular times more.
func uniformCounts(n, popular int64) []int64 {
	counts := make([]int64, expertCount)
	for i := range counts {
		counts[i] = n
	}
	counts[0] += popular
	return counts
}

func newUnclaimedGroup() *group {
	c := New("vm", 1, &fakeCluster{}, nil, log.NewNopLogger())
	c.fence.Store(1)
	return newGroup(c, "g")
}

// observePoll passes the replies of one poll to the group's planner.
func observePoll(g *group, members []*member, now time.Duration) {
	g.ensurePlanner(members)
	g.observe(members, g.updatePassTime(members, now))
}

// A group has made hundreds of passes before the coordinator sees it open. Its first sample spans two
// of them and must not outweigh later samples, or maps would follow the first one's noise for seconds.
func TestFirstSampleCountsItsOwnPassesOnly(t *testing.T) {
	g := newUnclaimedGroup()
	g.noteCounts(newTestMembers(false, 600, uniformCounts(1000, 0)))
	observePoll(g, newTestMembers(true, 602, uniformCounts(1010, 10)), 1200*time.Millisecond)
	first := g.planner.Popularity()[0][0]
	observePoll(g, newTestMembers(true, 604, uniformCounts(1020, 10)), 1400*time.Millisecond)
	if second := g.planner.Popularity()[0][0]; second > 0.8*first {
		t.Errorf("after an equally long sample without it, the popularity of an expert is %.3f, want well below the first sample's %.3f", second, first)
	}
}

// A group opens after a power loss with a long queue on a map that fits nothing. The first poll
// after that must already give a sample: without one, no map is planned for another interval.
func TestGroupThatOpensIsSampledAtOnce(t *testing.T) {
	g := newUnclaimedGroup()
	g.noteCounts(newTestMembers(false, 600, uniformCounts(0, 0)))
	observePoll(g, newTestMembers(true, 602, uniformCounts(10, 100)), time.Second)
	if g.planner.Popularity() == nil {
		t.Error("the first poll after the group opened gave no sample")
	}
}

// Pattern: a backlog after a restart. Two ranks have answered that their group is closed, the others do
// not answer yet. None of them is open, and the rank of another, open group that does not answer is
// not taken for closed.
func TestSilentRanksOfAClosedGroupAreClosed(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		open       bool
		answering  int
		wantClosed int
	}{
		{"closed, two of four ranks answer", false, 2, groupSize},
		{"closed, all ranks answer", false, groupSize, groupSize},
		{"open, one rank does not answer", true, groupSize - 1, 0},
		{"no rank answers", false, 0, 0},
	} {
		var engines []Engine
		responses := make([]response, groupSize)
		for rank, m := range newTestMembers(c.open, 0, nil) {
			engines = append(engines, m.engine)
			if rank < c.answering {
				responses[rank].reply = m.reply
			}
		}
		closed := 0
		for _, impairment := range impairmentsOf(engines, responses) {
			if impairment.Closed {
				closed++
			}
		}
		if closed != c.wantClosed {
			t.Errorf("%s: %d engines are closed, want %d", c.name, closed, c.wantClosed)
		}
	}
}
