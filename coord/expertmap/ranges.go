package expertmap

import (
	"slices"

	"github.com/apricothub/apricothub/api"
)

// Range maps the steps from Start up to but not including End to the expert map Map.
type Range struct {
	Start, End uint64
	Map        uint64
}

// ranges is a sorted list of ranges that do not overlap. Adjacent ranges with the same map are
// merged.
type ranges []Range

// rangesFromAPI reads ranges from a message. It returns false when one is empty or reversed or they
// overlap.
func rangesFromAPI(list []*api.StepRange) (ranges, bool) {
	var out ranges
	for _, r := range list {
		if r.GetStart() >= r.GetEnd() {
			return nil, false
		}
		if len(out) > 0 && r.GetStart() < out[len(out)-1].End {
			return nil, false
		}
		out = append(out, Range{Start: r.GetStart(), End: r.GetEnd(), Map: r.GetMapVersion()})
	}
	return out.joined(), true
}

func (rs ranges) toAPI() []*api.StepRange {
	out := make([]*api.StepRange, 0, len(rs))
	for _, r := range rs {
		out = append(out, &api.StepRange{Start: r.Start, End: r.End, MapVersion: r.Map})
	}
	return out
}

// joined merges adjacent ranges with the same map.
func (rs ranges) joined() ranges {
	var out ranges
	for _, r := range rs {
		if n := len(out); n > 0 && out[n-1].End == r.Start && out[n-1].Map == r.Map {
			out[n-1].End = r.End
			continue
		}
		out = append(out, r)
	}
	return out
}

// clip returns the parts within [start, end).
func (rs ranges) clip(start, end uint64) ranges {
	var out ranges
	for _, r := range rs {
		r.Start, r.End = max(r.Start, start), min(r.End, end)
		if r.Start < r.End {
			out = append(out, r)
		}
	}
	return out
}

// minus returns the parts of rs that other does not cover.
func (rs ranges) minus(other ranges) ranges {
	var out ranges
	for _, r := range rs {
		for _, o := range other {
			if o.End <= r.Start || o.Start >= r.End {
				continue
			}
			if o.Start > r.Start {
				out = append(out, Range{Start: r.Start, End: o.Start, Map: r.Map})
			}
			r.Start = min(o.End, r.End)
		}
		if r.Start < r.End {
			out = append(out, r)
		}
	}
	return out
}

// plus returns the union; steps in both keep the map of rs.
func (rs ranges) plus(other ranges) ranges {
	out := append(slices.Clone(rs), other.minus(rs)...)
	slices.SortFunc(out, func(a, b Range) int {
		if a.Start < b.Start {
			return -1
		}
		return 1
	})
	return out.joined()
}

// conflicts reports whether some step has different maps in rs and other.
func (rs ranges) conflicts(other ranges) bool {
	for _, r := range rs {
		for _, o := range other {
			if r.Map != o.Map && r.Start < o.End && o.Start < r.End {
				return true
			}
		}
	}
	return false
}

// covers reports whether rs contains all of other, with the same maps.
func (rs ranges) covers(other ranges) bool {
	return !rs.conflicts(other) && len(other.minus(rs)) == 0
}

// maps returns the distinct maps.
func (rs ranges) maps() []uint64 {
	var out []uint64
	for _, r := range rs {
		if !slices.Contains(out, r.Map) {
			out = append(out, r.Map)
		}
	}
	return out
}

func (rs ranges) end() uint64 {
	if len(rs) == 0 {
		return 0
	}
	return rs[len(rs)-1].End
}
