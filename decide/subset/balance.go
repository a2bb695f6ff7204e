package subset

import "slices"

// maxClientSpread is the largest allowed difference between the client counts of two servers. With
// 1, half as many links more move when a VM is replaced; with 3, some servers have two thirds of
// the mean, so that part of their limits is unused at the peak.
const maxClientSpread = 2

// balance moves links from the servers with the most clients to those with the fewest, until no two
// differ by more than maxClientSpread. This is needed because targetClients is rounded up: its sum
// is more than the number of links, and the servers chosen last may get too few clients.
func (a *assignment) balance() {
	for {
		least, most := a.extremes()
		isBalanced := most.clients-least.clients <= maxClientSpread
		if least.clients == 0 {
			// A server without a client gets no work at all.
			isBalanced = most.clients <= 1
		}
		if isBalanced || !a.move(most, least) {
			return
		}
	}
}

// extremes returns the servers with the fewest and the most clients. Ties go to the lowest hash,
// which does not depend on the order of the list.
func (a *assignment) extremes() (least, most *server) {
	least, most = a.servers[0], a.servers[0]
	for _, s := range a.servers[1:] {
		if s.clients < least.clients || s.clients == least.clients && s.hash < least.hash {
			least = s
		}
		if s.clients > most.clients || s.clients == most.clients && s.hash < most.hash {
			most = s
		}
	}
	return least, most
}

// move moves one client from a server to another. It prefers clients that keep their links spread
// over failure domains, and among those the one with the highest score for the new server.
func (a *assignment) move(from, to *server) bool {
	var best *client
	for _, c := range a.clients {
		if c.has(from) && !c.has(to) && (best == nil || c.isBetterMove(best, from, to)) {
			best = c
		}
	}
	if best == nil {
		return false
	}
	best.servers[slices.Index(best.servers, from)] = to
	from.addLinks(best, -1)
	to.addLinks(best, 1)
	return true
}

func (c *client) isBetterMove(other *client, from, to *server) bool {
	if x, y := c.reducesDomainSpread(from, to), other.reducesDomainSpread(from, to); x != y {
		return y
	}
	if x, y := score(c, to), score(other, to); x != y {
		return x > y
	}
	return c.name < other.name
}

// reducesDomainSpread reports whether the move would remove the client's last link to a failure
// domain, or distribute its links less evenly over domains.
func (c *client) reducesDomainSpread(from, to *server) bool {
	return from.domain != to.domain && c.linksByDomain[to.domain] >= c.linksByDomain[from.domain]
}
