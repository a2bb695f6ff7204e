package routing

import "testing"

// Teams with a priority of their own send requests of several kinds. If the team's priority replaced that
// of the route, as it once did, their urgent requests would wait behind their bulk work.
func TestRankOrdersKindsWithinATeamsPriority(t *testing.T) {
	high, low := 0, 1
	routes := []Route{
		{Name: "urgent", Host: "h", PathPrefix: "/u/", Priority: 0, Targets: []Target{{"llm", 1}}},
		{Name: "bulk", Host: "h", PathPrefix: "/b/", Priority: 2, Targets: []Target{{"llm", 1}}, Anonymous: true},
		{Name: "call", Host: "h", PathPrefix: "/c/", Priority: 2, Targets: []Target{{"desk", 1}}},
	}
	gold, basic, none := Team{Name: "gold", Priority: &high}, Team{Name: "basic", Priority: &low}, Team{Name: "none"}
	urgent, bulk := &routes[0], &routes[1]
	for _, c := range []struct {
		name  string
		teams []Team
		// order holds pairs of route and team, the most urgent first.
		order    [][2]any
		hasRanks bool
	}{
		{"no teams", nil, [][2]any{{urgent, nil}, {bulk, nil}}, true},
		{"teams with priorities", []Team{gold, basic}, [][2]any{{urgent, &gold}, {bulk, &gold}, {urgent, &basic}, {bulk, &basic}, {bulk, nil}}, true},
		{"a team without a priority", []Team{none}, [][2]any{{urgent, &none}, {bulk, &none}}, true},
	} {
		table := NewTable(&Config{Routes: routes, Teams: c.teams, Services: []Service{{Name: "llm"}, {Name: "desk"}}})
		last := -1
		for i, pair := range c.order {
			team, _ := pair[1].(*Team)
			rank := table.Rank(pair[0].(*Route), team)
			if rank <= last {
				t.Errorf("%s: pair %d has rank %d after %d", c.name, i, rank, last)
			}
			last = rank
		}
		if got := table.HasRanks("llm"); got != c.hasRanks {
			t.Errorf("%s: requests differ in rank: %v", c.name, got)
		}
	}
	if NewTable(&Config{Routes: routes, Teams: []Team{gold}}).HasRanks("desk") {
		t.Error("requests of one kind and one team differ in rank")
	}
}
