package experts

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// testShape is the shape of expert maps, as a configuration states it or an engine has it.
type testShape struct{ sets, experts, slots int }

func drawShape(t *rapid.T, label string) testShape {
	return rapid.SampledFrom([]testShape{
		{4, 72, 8},
		{3, 96, 11},
		{3, 64, 8},
		{8, 36, 5},
		{1, 16, 6},
		{12, 24, 4},
	}).Draw(t, label)
}

// shapedMembers returns the ranks of a group that is configured for one shape and has another one.
func shapedMembers(size int, configured, actual testShape, epoch, poll int64) []*member {
	config := &routing.Engine{LayerSets: configured.sets, Experts: configured.experts, SlotsPerRank: configured.slots, MaxNewExperts: 3, StepsPerPass: 4, ExpertMB: 1, LinkMbps: 1e6}
	members := make([]*member, size)
	for rank := range members {
		counts := make([]int64, actual.sets*actual.experts)
		for i := range counts {
			counts[i] = poll * int64(10+i%7*i%5*100)
		}
		var sets []*api.RankExperts
		for range actual.sets {
			set := &api.RankExperts{}
			for expert := rank; expert < actual.experts; expert += size {
				set.Experts = append(set.Experts, int32(expert))
			}
			sets = append(sets, set)
		}
		members[rank] = &member{
			engine: Engine{ID: string(rune('a' + rank)), Config: config, MaxPause: time.Second},
			reply: &api.RankReply{Counts: counts, Experts: sets, ExpertsVersion: 1, State: &api.RankState{
				Group: "g", Size: int32(size), Rank: int32(rank), Epoch: epoch, Born: 7, Open: true, Step: 20 * poll, Map: 1,
			}},
		}
	}
	return members
}

// Guards against what is known of one shape of expert maps being applied to another: an index out of range would end
// the process.
func TestAnyShapeMayFollowAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newUnclaimedGroup()
		now, poll := time.Duration(0), int64(0)
		for epoch := range rapid.Int64Range(1, 6).Draw(t, "shapes") {
			configured, actual := drawShape(t, "configured"), drawShape(t, "actual")
			size := rapid.IntRange(6, 12).Draw(t, "ranks")
			for range rapid.IntRange(1, 12).Draw(t, "polls") {
				now += 600 * time.Millisecond
				poll++
				members := shapedMembers(size, configured, actual, epoch, poll)
				if !g.ensurePlanner(members) {
					continue
				}
				g.observe(members, g.updatePassTime(members, now))
				g.recorder.Due(g.planner, now)
				if current := g.currentMaps(members); current != nil {
					g.clearTarget()
					g.planChange(current, 1, now)
				}
				if configured != actual && g.targetVersion != 0 {
					t.Errorf("maps of %v were planned for engines of %v", configured, actual)
				}
			}
		}
	})
}

// panickingCluster panics when it is first asked for its engines while this entry coordinates.
type panickingCluster struct {
	fakeCluster
	hasPanicked atomic.Bool
}

func (p *panickingCluster) Engines() []Engine {
	if p.hasPanicked.CompareAndSwap(false, true) {
		panic("no engines")
	}
	return p.fakeCluster.Engines()
}

// Guards against a panic in the coordination of expert maps that ends the process and its requests.
func TestCoordinationBeginsAnewAfterAPanic(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, 0)
	cluster := &panickingCluster{fakeCluster: fakeCluster{engines: g.engines}}
	cluster.selected.Store(true)
	c := New("vm", fakeplatform.PortPeers, cluster, newStore(t), log.NewNopLogger())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	for end := time.Now().Add(waitTimeout); c.Fence() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no fence after a panic")
		}
	}
	cancel()
	<-done
	if !cluster.hasPanicked.Load() {
		t.Error("no panic: the test proves nothing")
	}
}
