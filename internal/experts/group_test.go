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

// Pattern: a backlog after a restart. While a group is closed, ranks that do not answer are closed too,
// also when none answers in time; a rank of an open group that does not answer is not.
func TestSilentRanksOfAClosedGroupAreClosed(t *testing.T) {
	t.Parallel()
	type poll struct {
		open      bool
		answering int
		// restarted means that the other ranks answer too, and name no group yet.
		restarted bool
	}
	for _, c := range []struct {
		name       string
		polls      []poll
		wantClosed int
	}{
		{"closed, two of four ranks answer", []poll{{false, 2, false}}, groupSize},
		{"closed, two of four ranks have restarted", []poll{{false, 2, true}}, groupSize},
		{"closed, all ranks answer", []poll{{false, groupSize, false}}, groupSize},
		{"open, one rank does not answer", []poll{{true, groupSize - 1, false}}, 0},
		{"no rank has answered yet", []poll{{false, 0, false}}, 0},
		{"closed, then no rank answers", []poll{{false, groupSize, false}, {false, 0, false}}, groupSize},
		{"closed, then open, one rank does not answer", []poll{{false, groupSize, false}, {true, groupSize - 1, false}}, 0},
		{"closed, open, then no rank answers", []poll{{false, groupSize, false}, {true, groupSize, false}, {true, 0, false}}, 0},
	} {
		coordinator := newUnclaimedGroup().c
		for _, p := range c.polls {
			var engines []Engine
			responses := make([]rankResponse, groupSize)
			for rank, m := range newTestMembers(p.open, 0, nil) {
				engines = append(engines, m.engine)
				if rank < p.answering {
					responses[rank].reply = m.reply
				} else if p.restarted {
					responses[rank].reply = &api.RankReply{State: &api.RankState{}}
				}
			}
			impairments := coordinator.impairmentsOf(engines, responses)
			coordinator.impairments.Store(&impairments)
		}
		closed := 0
		for _, impairment := range coordinator.Impairments() {
			if impairment.Closed {
				closed++
			}
		}
		if closed != c.wantClosed {
			t.Errorf("%s: %d engines are closed, want %d", c.name, closed, c.wantClosed)
		}
	}
}
