package expertmap

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/apricothub/apricothub/api"
)

func drawRanges(t *rapid.T, name string) ranges {
	var out ranges
	at := uint64(0)
	for range rapid.IntRange(0, 4).Draw(t, name) {
		start := at + rapid.Uint64Range(0, 2).Draw(t, "gap")
		end := start + rapid.Uint64Range(1, 3).Draw(t, "length")
		out = append(out, Range{Start: start, End: end, Map: rapid.Uint64Range(1, 2).Draw(t, "map")})
		at = end
	}
	return out.joined()
}

// mapAt returns the map of one step, 0 for none.
func (rs ranges) mapAt(step uint64) uint64 {
	for _, r := range rs {
		if r.Start <= step && step < r.End {
			return r.Map
		}
	}
	return 0
}

// Compares the operations on ranges with a step-by-step computation.
func TestRangesByStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRanges(t, "a"), drawRanges(t, "b")
		start := rapid.Uint64Range(0, 10).Draw(t, "start")
		plus, minus, clipped, full := a.plus(b), a.minus(b), a.clip(start, start+3), fillGaps(a, start)
		conflict, covered := false, true
		for step := range uint64(24) {
			inA, inB := a.mapAt(step), b.mapAt(step)
			conflict = conflict || (inA != 0 && inB != 0 && inA != inB)
			covered = covered && (inB == 0 || inA == inB)
			union, rest := inA, inA
			if inA == 0 {
				union = inB
			}
			if inB != 0 {
				rest = 0
			}
			if plus.mapAt(step) != union || minus.mapAt(step) != rest {
				t.Fatalf("step %d: plus %v, minus %v of %v and %v", step, plus, minus, a, b)
			}
			if within := step >= start && step < start+3; within != (clipped.mapAt(step) != 0) && inA != 0 {
				t.Fatalf("step %d: clip of %v from %d gives %v", step, a, start, clipped)
			}
			if inA != 0 && full.mapAt(step) != inA || step >= start && step < a.end() && full.mapAt(step) == 0 {
				t.Fatalf("step %d: %v filled from %d gives %v", step, a, start, full)
			}
		}
		if a.conflicts(b) != conflict || a.covers(b) != covered {
			t.Fatalf("conflicts %v, covers %v of %v and %v", a.conflicts(b), a.covers(b), a, b)
		}
		if back, ok := rangesFromAPI(plus.toAPI()); !ok || !back.covers(plus) {
			t.Fatalf("%v came back as %v", plus, back)
		}
	})
}

func TestRangesFromAPIRejectsInvalid(t *testing.T) {
	for _, list := range [][]*api.StepRange{
		{{Start: 2, End: 2}},
		{{Start: 3, End: 2}},
		{{Start: 0, End: 4}, {Start: 3, End: 5}},
		{nil},
	} {
		if got, ok := rangesFromAPI(list); ok {
			t.Errorf("%v was read as %v", list, got)
		}
	}
}
