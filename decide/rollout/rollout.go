// Package rollout decides which backend servers of a model may load the version and
// the adapters in force now.
//
// Load: operators publish a version, sometimes several in a burst, and every backend
// server of the model is to change, through a weight store with a limited rate; each
// one is out for the time of the load and bears little for a while after it. Harm
// prevented: all servers loading at once, which takes the model away and starves the
// weight store; a version that does not load, or falls over when it is warm, reaching
// every server before anybody looks; and a failure domain that dies in the middle
// taking more with it than it would at any other time.
//
// The functions hold nothing between calls: what a server reports says how far it is,
// so another process may decide the next time.
package rollout

import (
	"cmp"
	"slices"
)

const (
	// maxUnavailableDivisor is the part of a model's backend servers that may be away at once:
	// one in eight, or one. At 8 servers and more an eighth of the capacity is less
	// than what a day's peak leaves free by the usual rule of two thirds, and below
	// that nothing smaller than one server can be chosen.
	maxUnavailableDivisor = 8
	// lightLoadFactor is how many times the work under way must fit into the limits of the
	// servers that go on for cold ones not to hold up the others. A server warms up on
	// work only; at night there is none, and waiting for it would never end.
	lightLoadFactor = 2
)

// Server is one backend server of the model as its agent reported it last.
type Server struct {
	VM      string
	Domain  string
	Version string
	// Adapters are those loaded.
	Adapters []string
	// Loading says that it is carrying out an order, the one with the fencing number
	// Order.
	Loading    bool
	OrderFence int64
	// Cold says that it bears less than when warm.
	Cold bool
	// Refusing says that it takes no new work for another reason than an order.
	Refusing bool
	// Missing says that it should be there and has no link.
	Missing bool
	// Limit is what it bears at once now, Requests what runs and waits at it.
	Limit, Requests int
}

// Target is what the lists say every backend server of the model should hold.
type Target struct {
	// Version may be empty: any version will do.
	Version  string
	Adapters []string
	// Fence is the fencing number of the orders: a newer list has a greater one.
	Fence int64
}

// IsMetBy says whether a server that holds a version and adapters needs no order.
func (t Target) IsMetBy(version string, adapters []string) bool {
	if t.Version != "" && version != t.Version {
		return false
	}
	for _, adapter := range t.Adapters {
		if !slices.Contains(adapters, adapter) {
			return false
		}
	}
	return true
}

// MaxUnavailable is how many of n backend servers may be away at once.
func MaxUnavailable(n int) int { return max(1, n/maxUnavailableDivisor) }

// NextToLoad returns the VMs that may be ordered to load now, in order.
//
// A server that still carries out an order of an older list gets the new one at once:
// it is away already, and a version that does not load is left that way. Beyond that,
// no more than Budget servers are away (loading, refusing, missing or cold) with those
// chosen, and all that load are of one failure domain. Servers that refuse for another
// reason go first, one budget at a time: nothing is served there.
func NextToLoad(servers []Server, target Target) []string {
	var next []string
	var candidates []Server
	unavailable, loadingCount, loadingDomain := 0, 0, ""
	countCold := needsColdServers(servers)
	for _, s := range servers {
		switch {
		case s.Missing:
			unavailable++
		case s.Loading:
			unavailable++
			loadingCount++
			loadingDomain = s.Domain
			if s.OrderFence < target.Fence {
				next = append(next, s.VM)
			}
		default:
			if s.Refusing || s.Cold && countCold {
				unavailable++
			}
			if !target.IsMetBy(s.Version, s.Adapters) {
				candidates = append(candidates, s)
			}
		}
	}
	sortCandidates(candidates)
	maxUnavailable := MaxUnavailable(len(servers))
	for _, s := range candidates {
		if loadingCount >= maxUnavailable || loadingDomain != "" && s.Domain != loadingDomain {
			continue
		}
		// One that is counted as away already costs nothing more. A cold one that
		// serves does cost what it serves; it waits until it is warm.
		if !s.Refusing && unavailable >= maxUnavailable {
			continue
		}
		if !s.Refusing {
			unavailable++
		}
		loadingCount++
		loadingDomain = s.Domain
		next = append(next, s.VM)
	}
	slices.Sort(next)
	return next
}

// sortCandidates puts servers that serve nothing first, then cold ones, which serve
// little, then by failure domain and VM, so that every process comes to one order.
func sortCandidates(servers []Server) {
	slices.SortFunc(servers, func(a, b Server) int {
		return cmp.Or(
			compareTrueFirst(a.Refusing, b.Refusing),
			compareTrueFirst(a.Cold, b.Cold),
			cmp.Compare(a.Domain, b.Domain),
			cmp.Compare(a.VM, b.VM),
		)
	})
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// needsColdServers says whether the model's work needs the cold servers warm: without the
// largest of those that serve, the rest could not bear lightFactor times the work under
// way.
func needsColdServers(servers []Server) bool {
	requests, totalLimit, largestLimit := 0, 0, 0
	for _, s := range servers {
		requests += s.Requests
		if s.Missing || s.Loading || s.Refusing {
			continue
		}
		totalLimit += s.Limit
		largestLimit = max(largestLimit, s.Limit)
	}
	return requests > 0 && requests*lightLoadFactor > totalLimit-largestLimit
}
