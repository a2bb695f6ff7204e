package routing

import (
	"cmp"
	"slices"
)

// rankKey is the priority of a team and that of a route. The team's takes precedence; a team without one
// counts with the route's.
type rankKey struct{ team, route int }

func newRankKey(r *Route, t *Team) rankKey {
	if t == nil || t.Priority == nil {
		return rankKey{r.Priority, r.Priority}
	}
	return rankKey{*t.Priority, r.Priority}
}

func compareRankKeys(a, b rankKey) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.route, b.route))
}

// setRanks numbers all pairs of priorities that requests can have, the most urgent first.
func (t *Table) setRanks(cfg *Config) {
	keys := make(map[rankKey]bool)
	byService := make(map[string]map[rankKey]bool)
	add := func(r *Route, team *Team) {
		key := newRankKey(r, team)
		keys[key] = true
		for _, target := range r.Targets {
			if byService[target.Service] == nil {
				byService[target.Service] = make(map[rankKey]bool)
			}
			byService[target.Service][key] = true
		}
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if len(cfg.Teams) == 0 || r.Anonymous {
			add(r, nil)
		}
		for j := range cfg.Teams {
			add(r, &cfg.Teams[j])
		}
	}
	sorted := make([]rankKey, 0, len(keys))
	for key := range keys {
		sorted = append(sorted, key)
	}
	slices.SortFunc(sorted, compareRankKeys)
	t.ranks = make(map[rankKey]int, len(sorted))
	for rank, key := range sorted {
		t.ranks[key] = rank
	}
	t.rankCounts = make(map[string]int, len(byService))
	for service, keys := range byService {
		t.rankCounts[service] = len(keys)
	}
}

// Rank returns the place of a team's requests on a route in the order of urgency; 0 is the most urgent.
// The priority of the team takes precedence over that of the route, which orders the requests of teams
// with equal priority.
func (t *Table) Rank(r *Route, team *Team) int { return t.ranks[newRankKey(r, team)] }

// HasRanks reports whether requests for a service differ in their rank.
func (t *Table) HasRanks(service string) bool { return t.rankCounts[service] > 1 }
