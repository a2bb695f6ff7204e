package rollout

import (
	"fmt"
	"slices"
	"testing"
)

var v2 = Target{Version: "2", Fence: 20}

// fleet returns n warm, busy servers with version 1 in three failure domains.
func fleet(n int) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{VM: fmt.Sprintf("vm-%02d", i), Domain: string(rune('a' + i%3)), Version: "1", Limit: 16, Requests: 12}
	}
	return servers
}

// modify applies a change to each server and returns them.
func modify(servers []Server, change func(i int, s *Server)) []Server {
	for i := range servers {
		change(i, &servers[i])
	}
	return servers
}

func TestNextToLoad(t *testing.T) {
	tests := map[string]struct {
		servers []Server
		want    Target
		next    []string
	}{
		"nothing to do":            {fleet(4), Target{Version: "1", Fence: 20}, nil},
		"any version":              {fleet(4), Target{Fence: 20}, nil},
		"one of a few":             {fleet(4), v2, []string{"vm-00"}},
		"the only one":             {fleet(1), v2, []string{"vm-00"}},
		"two of 16, of one domain": {fleet(16), v2, []string{"vm-00", "vm-03"}},
		"an adapter is missing": {
			modify(fleet(2), func(i int, s *Server) { s.Adapters = []string{"x", "y"}[:i+1] }),
			Target{Version: "1", Adapters: []string{"y"}, Fence: 20},
			[]string{"vm-00"},
		},
		"one loads": {
			modify(fleet(4), func(i int, s *Server) { s.Loading, s.OrderFence = i == 0, 20 }),
			v2, nil,
		},
		"room for one more, of the same domain only": {
			modify(fleet(16), func(i int, s *Server) { s.Loading, s.OrderFence = i == 1, 20 }),
			v2,
			[]string{"vm-04"},
		},
		"the one changed is cold and the others are busy": {
			modify(fleet(4), func(i int, s *Server) {
				if i == 0 {
					s.Version, s.Cold, s.Limit, s.Requests = "2", true, 2, 2
				}
				s.Limit -= i
			}),
			v2, nil,
		},
		"the one changed is cold and there is little work": {
			modify(fleet(4), func(i int, s *Server) {
				s.Requests = 1
				if i == 0 {
					s.Version, s.Cold, s.Limit = "2", true, 2
				}
			}),
			v2,
			[]string{"vm-03"},
		},
		"all cold and busy": {
			modify(fleet(4), func(_ int, s *Server) { s.Cold, s.Limit, s.Requests = true, 2, 2 }),
			v2, nil,
		},
		"all cold and idle": {
			modify(fleet(4), func(_ int, s *Server) { s.Cold, s.Limit, s.Requests = true, 2, 0 }),
			v2,
			[]string{"vm-00"},
		},
		"a server has died": {
			modify(fleet(8), func(i int, s *Server) { s.Missing = i == 7 }),
			v2, nil,
		},
		"one of two that may be away has died": {
			modify(fleet(16), func(i int, s *Server) { s.Missing = i == 7 }),
			v2,
			[]string{"vm-00"},
		},
		"the one that loads dies": {
			modify(fleet(4), func(i int, s *Server) { s.Loading, s.Missing, s.OrderFence = i == 0, i == 0, 20 }),
			v2, nil,
		},
		"a domain is dead": {
			modify(fleet(24), func(_ int, s *Server) { s.Missing = s.Domain == "b" }),
			v2, nil,
		},
		"a domain is marked out: its own servers load": {
			modify(fleet(6), func(_ int, s *Server) { s.Refusing = s.Domain == "b" }),
			v2,
			[]string{"vm-01"},
		},
		"a domain is marked out and has been changed": {
			modify(fleet(6), func(_ int, s *Server) {
				if s.Domain == "b" {
					s.Refusing, s.Version = true, "2"
				}
			}),
			v2, nil,
		},
		"a second publish while one loads the first": {
			modify(fleet(4), func(i int, s *Server) {
				s.Loading, s.OrderFence = i == 1, 20
				if i == 0 {
					s.Version = "2"
				}
			}),
			Target{Version: "3", Fence: 30},
			[]string{"vm-01"},
		},
		"back to the old version while one fails to load": {
			modify(fleet(4), func(i int, s *Server) { s.Loading, s.OrderFence = i == 0, 20 }),
			Target{Version: "1", Fence: 30},
			[]string{"vm-00"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := NextToLoad(test.servers, test.want); !slices.Equal(got, test.next) {
				t.Errorf("got %v, want %v", got, test.next)
			}
		})
	}
}

// Version 3 is published while version 2 is being loaded. All servers must reach version 3, and at
// no time may more than MaxUnavailable servers be unavailable or two failure domains load.
func TestBurstOfPublishes(t *testing.T) {
	servers := fleet(24)
	target := v2
	for round := range 200 {
		if round == 5 {
			target = Target{Version: "3", Fence: 30}
		}
		for _, vm := range NextToLoad(servers, target) {
			i := slices.IndexFunc(servers, func(s Server) bool { return s.VM == vm })
			servers[i].Loading, servers[i].OrderFence = true, target.Fence
		}
		domains := map[string]bool{}
		unavailable := 0
		for i := range servers {
			s := &servers[i]
			if s.Loading {
				domains[s.Domain] = true
			}
			if s.Loading || s.Cold {
				unavailable++
			}
			// Loading takes two rounds, warming up three.
			switch {
			case s.Loading && (round+i)%2 == 0:
				s.Loading, s.Cold, s.Limit = false, true, 2
				s.Version = map[int64]string{20: "2", 30: "3"}[s.OrderFence]
			case s.Cold && (round+i)%3 == 0:
				s.Cold, s.Limit = false, 16
			}
		}
		if unavailable > MaxUnavailable(len(servers)) || len(domains) > 1 {
			t.Fatalf("round %d: %d unavailable, loading in %v", round, unavailable, domains)
		}
	}
	for _, s := range servers {
		if s.Version != "3" {
			t.Errorf("%s has version %s", s.VM, s.Version)
		}
	}
}
