package mapswitch

import "testing"

// A coordinator dies between the copies of a map and its use. The next one must be able to go on with
// that map, but only if all ranks have it: it cannot order a rank to prepare a map that it does not know.
func TestPreparedByAll(t *testing.T) {
	held := int64(9)
	prepared := func(changes ...func(*Status)) []Status {
		ranks := make([]Status, 3)
		for i := range ranks {
			ranks[i] = Status{Epoch: 1, Step: 7, Map: 4, Prepared: 5}
		}
		for _, change := range changes {
			change(&ranks[1])
		}
		return ranks
	}
	for _, c := range []struct {
		name  string
		ranks []Status
		want  int64
	}{
		{"all ranks", prepared(), 5},
		{"no rank", nil, 0},
		{"one rank lacks it", prepared(func(s *Status) { s.Prepared = 0 }), 0},
		{"one rank has another one", prepared(func(s *Status) { s.Prepared = 6 }), 0},
		{"one rank uses it", prepared(func(s *Status) { s.Map, s.Prepared = 5, 5 }), 0},
		{"one rank is armed", prepared(func(s *Status) { s.Armed = &Arming{5, 9} }), 0},
		{"one rank holds the group", prepared(func(s *Status) { s.Held = &held }), 0},
		{"one rank is in another epoch", prepared(func(s *Status) { s.Epoch = 2 }), 0},
		{"one report is stale", prepared(func(s *Status) { s.Stale = true }), 0},
	} {
		if got := PreparedByAll(c.ranks); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
