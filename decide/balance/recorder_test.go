package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

var recordShape = Shape{LayerSets: 3, Experts: 96, Ranks: 24, SlotsPerRank: 6, MaxNewExperts: 2}

func newRecordPlanner(t *testing.T) *LayerPlanner {
	l, err := NewLayerPlanner(recordShape, LayerPlannerConfig{})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Pattern: the backlog of a power loss. A new planner that has observed nothing plans by the recorded
// popularity, as well as one that has observed it for long.
func TestRecordedPopularityGivesTheFirstMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	truth := zipfFractions(rng, recordShape.LayerSets, recordShape.Experts, 1.1)
	observed, expecting := newRecordPlanner(t), newRecordPlanner(t)
	observed.Observe(32, truth)
	expecting.Expect(truth)
	current := roundRobinMaps(recordShape)
	change := expecting.Plan(current, true)
	if change == nil {
		t.Fatal("no change is planned by the recorded popularity")
	}
	if before, after := observed.Skew(current), observed.Skew(change.Maps); after > 0.6*before {
		t.Errorf("the planned maps change the skew from %.2f to %.2f only", before, after)
	}
}

// Popularity has changed since it was recorded. The first sample must outweigh the record, and the
// difference must not count as noise, or later changes would be noticed late.
func TestOutdatedRecordYieldsToTheFirstSample(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 1))
	recorded := zipfFractions(rng, recordShape.LayerSets, recordShape.Experts, 1.1)
	truth := zipfFractions(rng, recordShape.LayerSets, recordShape.Experts, 1.1)
	l := newRecordPlanner(t)
	l.Expect(recorded)
	for range 3 {
		l.Observe(3, drawTokens(rng, truth, 3, 3000))
	}
	if d, before := meanDistance(truth, l.Popularity()), meanDistance(truth, recorded); d > before/4 {
		t.Errorf("the popularity is off by %.3f after three samples, by %.3f before them", d, before)
	}
	if l.popularity.noise > 0.1 {
		t.Errorf("the noise of a pass is taken as %.3f", l.popularity.noise)
	}
	l.Expect(recorded)
	if d := meanDistance(truth, l.Popularity()); d > 0.1 {
		t.Errorf("a record replaced what was observed: off by %.3f", d)
	}
}

// Guards against a record for each observation, since every call to the store counts, and against a
// lasting change that is not recorded.
func TestPopularityIsRecordedWhenItChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	l, r := newRecordPlanner(t), &Recorder{}
	truth := zipfFractions(rng, recordShape.LayerSets, recordShape.Experts, 1.1)
	records, now := 0, time.Duration(0)
	observe := func(seconds int) {
		for range seconds * 5 {
			now += 200 * time.Millisecond
			l.Observe(3, drawTokens(rng, truth, 3, 3000))
			if r.Due(l, now) {
				records++
			}
		}
	}
	observe(30)
	if records != 1 {
		t.Errorf("%d records of a constant popularity, want 1", records)
	}
	truth = zipfFractions(rng, recordShape.LayerSets, recordShape.Experts, 1.1)
	observe(5)
	if records < 2 || records > 3 {
		t.Errorf("%d records after a change, want 1 or 2 more", records-1)
	}
	if d := meanDistance(truth, r.recorded); d > minRecordDistance {
		t.Errorf("the record is off by %.3f", d)
	}
	observe(2)
	before := records
	r.Forget()
	observe(2)
	if records != before+1 {
		t.Errorf("a record that could not be written was repeated %d times, want 1", records-before)
	}
}

// While the store is away, each record fails. A coordinator must not call it with each observation.
func TestFailedRecordsAreRepeatedOnceASecond(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 1))
	l, r := newRecordPlanner(t), &Recorder{}
	truth := zipfFractions(rng, recordShape.LayerSets, recordShape.Experts, 1.1)
	records := 0
	for now := time.Duration(0); now < 10*time.Second; now += 200 * time.Millisecond {
		l.Observe(3, drawTokens(rng, truth, 3, 3000))
		if r.Due(l, now) {
			records++
			r.Forget()
		}
	}
	if records < 8 || records > 10 {
		t.Errorf("%d records in ten seconds, want one a second", records)
	}
}
