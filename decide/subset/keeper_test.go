package subset

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const updateInterval = 200 * time.Millisecond

// runSelector runs a keeper for some time, and returns the servers wanted at the end and the
// most that were wanted at once.
func runSelector(k *LinkSelector, from, to time.Duration, health func(string) Health) (links []string, maxLinks int) {
	for now := from; now < to; now += updateInterval {
		links = k.Update(now, health)
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

// At the size to design for, each domain in turn is lost, told or silent, and returns.
// Every entry has as many links that work as before within two seconds, at no time more
// than twice as many, and the domain's load is spread over all that are left. Half a
// minute after the return all is as it was.
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
				keeper := NewLinkSelector()
				own := links[c.Name]
				keeper.SetServers(own, FallbackOrder(c.Name, servers, own))
				runSelector(keeper, 0, time.Second, func(string) Health { return Usable })
				wanted, most := runSelector(keeper, time.Second, 3*time.Second, health)
				good := 0
				for _, vm := range wanted {
					if domains[vm] != lostDomain {
						good++
						count[vm]++
					}
				}
				if 4*good < 3*k || most > 2*k {
					t.Fatalf("%s without %s (%v): %d links that work of %d wanted", c.Name, lostDomain, lostHealth, good, most)
				}
				back, _ := runSelector(keeper, 3*time.Second, 3*time.Second+fallbackHold+2*updateInterval, func(string) Health { return Usable })
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

// Links flap: one own server is silent for half a second again and again, as on a busy
// machine. No further link is made. One that is gone for good is no reason either while
// three of four are left.
func TestFlappingLinksAddNoFallbacks(t *testing.T) {
	own, order := []string{"a", "b", "c", "d"}, []string{"e", "f", "g", "h", "i"}
	k := NewLinkSelector()
	k.SetServers(own, order)
	for now := time.Duration(0); now < 20*time.Second; now += updateInterval {
		flaps := now%time.Second < 600*time.Millisecond
		wanted := k.Update(now, func(vm string) Health {
			if vm == "a" || flaps {
				return Silent
			}
			return Usable
		})
		if len(wanted) != len(own) {
			t.Fatalf("%v at %v", wanted, now)
		}
	}
}

// Nobody answers: the fault is this client's own. It asks for twice its own servers at
// most at any moment, and tries none of the further ones again within half a minute.
func TestIsolatedClientDialsFewServers(t *testing.T) {
	_, servers := nodes("entry", 98, 3), nodes("vm", 62, 3)
	own := []string{"vm-0000", "vm-0001", "vm-0002", "vm-0003"}
	k := NewLinkSelector()
	k.SetServers(own, FallbackOrder("entry-0000", servers, own))
	tried := make(map[string]int)
	previous := own
	for now := time.Duration(0); now < 20*time.Second; now += updateInterval {
		wanted := k.Update(now, func(string) Health { return Silent })
		if len(wanted) > 2*len(own) {
			t.Fatalf("%d wanted", len(wanted))
		}
		for _, vm := range wanted {
			if !slices.Contains(previous, vm) {
				tried[vm]++
			}
		}
		previous = wanted
	}
	for vm, n := range tried {
		if n > 1 {
			t.Errorf("%s was tried %d times", vm, n)
		}
	}
}

// A client's subset moves to servers that it has no link to yet. It keeps the old ones until
// the new ones are linked and have reported; not one that is out, nor for longer than a
// handover.
func TestPreviousServersAreKeptUntilNewOnesReport(t *testing.T) {
	states := map[string]Health{"a": Usable, "b": Usable, "c": Silent, "d": Silent}
	health := func(vm string) Health { return states[vm] }
	k := NewLinkSelector()
	k.SetServers([]string{"a", "b"}, []string{"c", "d"})
	k.Update(0, health)
	k.SetServers([]string{"c", "d"}, []string{"a", "b"})
	check := func(now time.Duration, when string, want ...string) {
		t.Helper()
		if got := k.Update(now, health); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", when, got, want)
		}
	}
	check(updateInterval, "no new link stands", "c", "d", "a", "b")
	if !k.HasPendingLink() {
		t.Error("no link is pending")
	}
	states["b"] = Unavailable
	check(2*updateInterval, "an old one is out", "c", "d", "a")
	states["c"], states["d"] = Usable, Usable
	check(3*updateInterval, "the new links stand", "c", "d", "a")
	check(3*updateInterval+firstReportDelay, "they have reported", "c", "d")
	if k.HasPendingLink() {
		t.Error("a link is pending")
	}
	states["b"] = Usable
	states["c"] = Silent
	k.SetServers([]string{"a", "c"}, []string{"b", "d"})
	check(time.Minute, "moved on", "a", "c", "d")
	check(time.Minute+maxHandover, "for too long", "a", "c", "b")
}
