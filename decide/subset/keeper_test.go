package subset

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const updateInterval = 200 * time.Millisecond

// runSelector updates a LinkSelector for some time. It returns the servers selected at the end and
// the largest number selected at once.
func runSelector(selector *LinkSelector, from, to time.Duration, health func(string) Health) (links []string, maxLinks int) {
	for now := from; now < to; now += updateInterval {
		links = selector.Update(now, health)
		maxLinks = max(maxLinks, len(links))
	}
	return links, maxLinks
}

func domainOf(servers []Node) map[string]string {
	of := make(map[string]string)
	for _, s := range servers {
		of[s.Name] = s.Domain
	}
	return of
}

// At the design size, each failure domain in turn becomes unavailable or silent, and returns.
// Within two seconds every entry must have at least three quarters of its usable links, at no time
// more than twice as many, with the load of the domain spread over all remaining servers. Half a
// minute after the return, the original links are back.
func TestLostDomainIsReplacedByFallbacks(t *testing.T) {
	clients, servers := nodes("entry", 98, 3), nodes("vm", 62, 3)
	const k = 4
	links, domains := Assign(clients, servers, k), domainOf(servers)
	for _, lostHealth := range []Health{Unavailable, Silent} {
		for d := range 3 {
			lostDomain := fmt.Sprint("domain-", d)
			health := func(vm string) Health {
				if domains[vm] == lostDomain {
					return lostHealth
				}
				return Usable
			}
			count := make(map[string]int)
			for _, c := range clients {
				selector := NewLinkSelector()
				own := links[c.Name]
				selector.SetServers(own, FallbackOrder(c.Name, servers, own))
				runSelector(selector, 0, time.Second, func(string) Health { return Usable })
				selected, maxLinks := runSelector(selector, time.Second, 3*time.Second, health)
				usable := 0
				for _, vm := range selected {
					if domains[vm] != lostDomain {
						usable++
						count[vm]++
					}
				}
				if 4*usable < 3*k || maxLinks > 2*k {
					t.Fatalf("%s without %s (%v): %d usable links of %d selected", c.Name, lostDomain, lostHealth, usable, maxLinks)
				}
				back, _ := runSelector(selector, 3*time.Second, 3*time.Second+fallbackHold+2*updateInterval, func(string) Health { return Usable })
				if !slices.Equal(back, own) {
					t.Fatalf("%s after the return of %s: %v, want %v", c.Name, lostDomain, back, own)
				}
			}
			low, high := len(clients), 0
			for _, s := range servers {
				if s.Domain != lostDomain {
					low, high = min(low, count[s.Name]), max(high, count[s.Name])
				}
			}
			t.Logf("%s lost (%v): the others have from %d to %d entries", lostDomain, lostHealth, low, high)
			if low == 0 || high > 3*98*k/62 {
				t.Errorf("%s lost (%v): the others have from %d to %d entries", lostDomain, lostHealth, low, high)
			}
		}
	}
}

// Links flap: the assigned servers are silent for half a second again and again, as on a busy
// machine. No fallback may be added, also with one server permanently lost while three of four
// remain.
func TestFlappingLinksAddNoFallbacks(t *testing.T) {
	own, order := []string{"a", "b", "c", "d"}, []string{"e", "f", "g", "h", "i"}
	selector := NewLinkSelector()
	selector.SetServers(own, order)
	for now := time.Duration(0); now < 20*time.Second; now += updateInterval {
		flaps := now%time.Second < 600*time.Millisecond
		links := selector.Update(now, func(vm string) Health {
			if vm == "a" || flaps {
				return Silent
			}
			return Usable
		})
		if len(links) != len(own) {
			t.Fatalf("%v at %v", links, now)
		}
	}
}

// No server answers because of a fault of the client itself. At any moment it may select at most
// twice its assigned servers, and within half a minute it must not try a lost fallback again.
func TestIsolatedClientDialsFewServers(t *testing.T) {
	_, servers := nodes("entry", 98, 3), nodes("vm", 62, 3)
	own := []string{"vm-0000", "vm-0001", "vm-0002", "vm-0003"}
	selector := NewLinkSelector()
	selector.SetServers(own, FallbackOrder("entry-0000", servers, own))
	tried := make(map[string]int)
	previous := own
	for now := time.Duration(0); now < 20*time.Second; now += updateInterval {
		links := selector.Update(now, func(string) Health { return Silent })
		if len(links) > 2*len(own) {
			t.Fatalf("%d servers selected", len(links))
		}
		for _, vm := range links {
			if !slices.Contains(previous, vm) {
				tried[vm]++
			}
		}
		previous = links
	}
	for vm, n := range tried {
		if n > 1 {
			t.Errorf("%s was tried %d times", vm, n)
		}
	}
}

// A client's subset changes to servers without a link yet. The client must keep the previous
// servers until the new ones are linked and have reported, but not those that are unavailable, and
// none for longer than maxHandover.
func TestPreviousServersAreKeptUntilNewOnesReport(t *testing.T) {
	states := map[string]Health{"a": Usable, "b": Usable, "c": Silent, "d": Silent}
	health := func(vm string) Health { return states[vm] }
	selector := NewLinkSelector()
	selector.SetServers([]string{"a", "b"}, []string{"c", "d"})
	selector.Update(0, health)
	selector.SetServers([]string{"c", "d"}, []string{"a", "b"})
	check := func(now time.Duration, when string, want ...string) {
		t.Helper()
		if got := selector.Update(now, health); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", when, got, want)
		}
	}
	check(updateInterval, "no new link is established", "c", "d", "a", "b")
	if !selector.HasPendingLink() {
		t.Error("no link is pending")
	}
	states["b"] = Unavailable
	check(2*updateInterval, "a previous one is unavailable", "c", "d", "a")
	states["c"], states["d"] = Usable, Usable
	check(3*updateInterval, "the new links are established", "c", "d", "a")
	check(3*updateInterval+firstReportDelay, "they have reported", "c", "d")
	if selector.HasPendingLink() {
		t.Error("a link is pending")
	}
	states["b"] = Usable
	states["c"] = Silent
	selector.SetServers([]string{"a", "c"}, []string{"b", "d"})
	check(time.Minute, "another change", "a", "c", "d")
	check(time.Minute+maxHandover, "after maxHandover", "a", "c", "b")
}
