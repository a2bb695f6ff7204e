// Package rollout decides which backend servers of a model may load the version and the adapters in
// force.
//
// Operators publish a version, sometimes several in quick succession, and every backend server of
// the model has to load it from a weight store with a limited rate. Each server is unavailable
// while it loads and has a low limit for some time afterwards. The load is therefore spread over
// time: if all servers loaded at once, the model would be unavailable and the weight store
// overloaded. A version that does not load, or falls over when warm, must not reach every server
// before anybody notices, and a failure domain that dies during a rollout must not take more
// capacity with it than at any other time.
//
// The functions keep no state between calls. Reports of the servers show the progress, so that
// another process may make the next decision.
package rollout

import (
	"cmp"
	"slices"
)

const (
	// maxUnavailableDivisor is the inverse of the fraction of a model's backend servers that may be
	// unavailable at once: one in eight, or one. With 8 and more servers, an eighth of the capacity
	// is less than what remains free at the daily peak under the common rule of two thirds
	// utilization. With fewer, one server is the smallest possible step.
	maxUnavailableDivisor = 8
	// lightLoadFactor is how many times the current requests must fit into the limits of the
	// available servers for cold servers not to count as unavailable. A server only warms up with
	// work; at night there is none, and a rollout that waits for it would never end.
	lightLoadFactor = 2
)

// Server is the last reported state of one backend server of the model.
type Server struct {
	VM      string
	Domain  string
	Version string
	// Adapters are the loaded adapters.
	Adapters []string
	// Loading is set while the server carries out the order with the fencing number OrderFence.
	Loading    bool
	OrderFence int64
	// Cold is set while the server's limit is lower than when warm.
	Cold bool
	// Refusing is set while the server takes no new requests for a reason other than an order.
	Refusing bool
	// Missing is set if the server is expected but has no link.
	Missing bool
	// Limit is the server's current concurrency limit, and Requests the number of requests that run
	// or wait there.
	Limit, Requests int
}

// Target is the version and the adapters that every backend server of the model should have.
type Target struct {
	// Version may be empty, which allows any version.
	Version  string
	Adapters []string
	// Fence is the fencing number of the orders; a newer list has a greater one.
	Fence int64
}

// IsMetBy reports whether a server with the given version and adapters needs no order.
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

// MaxUnavailable is the number of n backend servers that may be unavailable at once.
func MaxUnavailable(n int) int { return max(1, n/maxUnavailableDivisor) }

// NextToLoad returns the VMs that may be ordered to load now, sorted by name.
//
// A server that still carries out an order of an older list gets the new order at once: it is
// unavailable already, and this is how a version that does not load is abandoned. Otherwise, no
// more than MaxUnavailable servers are unavailable (loading, refusing, missing or cold) including
// those chosen, and all loading servers are in one failure domain. Servers that refuse requests for
// another reason serve nothing and go first, up to MaxUnavailable at a time.
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
		// A refusing server already counts as unavailable, so that its load costs no capacity. A
		// cold server still serves requests and has to wait until it is warm.
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

// sortCandidates puts refusing servers first, then cold ones, which serve little, and then sorts by
// failure domain and VM, so that every process gets the same order.
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

// needsColdServers reports whether the load of the model requires its cold servers to be warm:
// without the largest available server, the others could not hold lightLoadFactor times the current
// requests.
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
