package subset

import "slices"

// maxClientSpread is the most by which two servers may differ in their clients. With 1, half as
// many links again moved in trials when a VM was replaced; with 3, some servers had two
// thirds of the mean, and their limits would stand unused at the peak.
const maxClientSpread = 2

// balance moves links from the servers with most clients to those with fewest, until no
// two differ by more than the spread. Rooms alone leave some servers with too few: the room
// rounded up is more than there are links, and the last clients find it in few servers.
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

// extremes returns the server with fewest clients and the one with most; of equals the
// one of lowest hash, which does not depend on the order of the list.
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

// move gives a client of one server to another. Of the clients that would not lose a
// failure domain, it is the one that scores the other server highest.
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

// reducesDomainSpread says that the move would take the client's last link to a failure domain, or
// make its domains less even.
func (c *client) reducesDomainSpread(from, to *server) bool {
	return from.domain != to.domain && c.linksByDomain[to.domain] >= c.linksByDomain[from.domain]
}
