package routing

import "testing"

func newTestTable() *Table {
	return NewTable(&Config{
		Version: 3,
		Routes: []Route{
			{Name: "wide", Host: "A.example", PathPrefix: "/x/"},
			{Name: "deep", Host: "a.example", PathPrefix: "/x/y/"},
			{Name: "other", Host: "b.example", PathPrefix: "/x/"},
		},
		Teams: []Team{{Name: "north", Keys: []string{"k1", "k2"}}},
	})
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example:8080", "/x/y/", "deep"},
		{"A.EXAMPLE", "/x/yz", "wide"},
		{"b.example", "/x/y/z", "other"},
		{"a.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := newTestTable().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestTeamOfKey(t *testing.T) {
	if team := newTestTable().Team("k2"); team == nil || team.Name != "north" {
		t.Errorf("k2 belongs to %v", team)
	}
	if team := newTestTable().Team("k3"); team != nil {
		t.Errorf("unknown key k3 belongs to %v", team)
	}
}

func TestChooseFollowsTheWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 0}, {"c", 10}}}
	for _, c := range []struct {
		random float64
		want   string
	}{{0, "a"}, {0.89, "a"}, {0.91, "c"}, {0.999999, "c"}} {
		if got := r.PickService(c.random); got != c.want {
			t.Errorf("random number %v: service %s, want %s", c.random, got, c.want)
		}
	}
	if got := (&Route{}).PickService(0.5); got != "" {
		t.Errorf("a route without targets has picked service %q", got)
	}
}
