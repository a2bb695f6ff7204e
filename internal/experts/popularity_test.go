package experts

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// All entries lose power. The coordinator that comes after must know the popularity of experts from
// the store before its group makes a pass, or the backlog runs on a map that fits nothing.
func TestNextCoordinatorKnowsThePopularity(t *testing.T) {
	t.Parallel()
	fake := fakeplatform.NewStore(t)
	store := platform.NewStore(strings.TrimPrefix(fake.URL, "http://"), fake.Client().Transport)
	first := newUnclaimedGroup()
	first.c.store = store
	observePoll(first, newTestMembers(true, 600, uniformCounts(0, 0)), time.Second)
	observePoll(first, newTestMembers(true, 620, uniformCounts(10, 90)), 3*time.Second)
	first.recordPopularity(context.Background(), 3*time.Second)
	if err := <-first.recordWritten; err != nil {
		t.Fatal(err)
	}

	next := New("vm-2", 1, &fakeCluster{}, store, log.NewNopLogger())
	next.startReadingPopularity(context.Background())
	waitFor(t, "the record is read", func() bool {
		next.takePopularity()
		return next.recordedPopularity != nil
	})
	g := newGroup(next, "g")
	g.ensurePlanner(newTestMembers(true, 0, nil))
	g.planner.Expect(next.recordedPopularity["g"])
	want, got := first.planner.Popularity()[0], g.planner.Popularity()
	if got == nil {
		t.Fatal("the next coordinator expects no popularity")
	}
	for expert := range want {
		if math.Abs(got[0][expert]-want[expert]) > 0.01 {
			t.Errorf("expert %d: expected %.3f, observed before %.3f", expert, got[0][expert], want[expert])
		}
	}
}

// A record of another group, of another shape or with other bytes must be ignored.
func TestUnfitPopularityRecordsAreIgnored(t *testing.T) {
	t.Parallel()
	if _, err := decodePopularity([]byte{0xff}); err == nil {
		t.Error("bytes that are no record were decoded")
	}
	value, err := encodePopularity([][]float64{{0.5, 0.5}})
	if err != nil {
		t.Fatal(err)
	}
	popularity, err := decodePopularity(value)
	if err != nil {
		t.Fatal(err)
	}
	g := newUnclaimedGroup()
	g.ensurePlanner(newTestMembers(true, 0, nil))
	g.planner.Expect(popularity)
	if g.planner.Popularity() != nil {
		t.Error("a popularity of another shape is expected")
	}
}
