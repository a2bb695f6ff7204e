// Package subset chooses the servers that a client links to when there are too many to link to all
// of them, such as the agents that an entry dials for a model. All processes that see the same
// lists make the same choice without communication.
//
// Many clients with about the same load share the servers, and VMs come and go all day. The choice
// is balanced, since otherwise servers with few clients are idle while those with many are full,
// however well each client places its requests. It is also stable, since otherwise every replaced
// VM cuts links throughout the system.
package subset

import (
	"cmp"
	"slices"
)

// Node is a VM on either side of the links.
type Node struct {
	Name   string
	Domain string // failure domain
}

// Assign returns the names of the servers that each client links to, by the name of the client: k
// servers, or all if there are fewer. The client counts of two servers differ by at most two, and
// no server is without a client while another has two.
//
// Clients choose one after another in an order given by a hash. Each takes the servers with the
// highest rendezvous scores among those below the target number of clients, from the failure
// domains to which it has the fewest links. Afterwards, servers with too few clients get some from
// those with the most. A VM that comes or goes changes its own links and those displaced by the new
// target number.
func Assign(clients, servers []Node, k int) map[string][]string {
	k = min(k, len(servers))
	links := make(map[string][]string, len(clients))
	if k <= 0 {
		return links
	}
	a := newAssignment(clients, servers, len(clients)*k)
	for _, node := range sortClients(clients) {
		a.clients = append(a.clients, a.choose(node, k))
	}
	a.balance()
	for _, c := range a.clients {
		for _, s := range c.servers {
			links[c.name] = append(links[c.name], s.Name)
		}
	}
	return links
}

// ForClient returns the choice of one client from [Assign], or nil if the client is not in the
// list.
func ForClient(client string, clients, servers []Node, k int) []string {
	return Assign(clients, servers, k)[client]
}

// sortClients returns the clients in the order in which they choose. The order does not depend on
// the order of the list, and adding or removing a client leaves the order of the others unchanged.
func sortClients(clients []Node) []Node {
	sorted := slices.Clone(clients)
	slices.SortFunc(sorted, func(a, b Node) int {
		return cmp.Or(cmp.Compare(hash(a.Name), hash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

// server is a server with the number of clients assigned so far, in total and by failure domain of
// the client.
type server struct {
	Node
	hash            uint64
	domain          int
	clients         int
	clientsByDomain []int
	score           uint64 // for the client that is choosing now
}

// client is a client with its chosen servers.
type client struct {
	name          string
	hash          uint64
	domain        int
	servers       []*server
	linksByDomain []int // number of chosen servers by failure domain
}

func (c *client) has(s *server) bool { return slices.Contains(c.servers, s) }

// assignment is the state while clients choose one after another.
type assignment struct {
	servers       []*server
	clients       []*client
	domainIndex   map[string]int // index of each failure domain by name
	targetClients int            // mean number of clients per server, rounded up
}

// newAssignment returns an assignment without links. The argument links is the number of links to
// be made.
func newAssignment(clients, servers []Node, links int) *assignment {
	a := &assignment{domainIndex: make(map[string]int), targetClients: ceilDiv(links, len(servers))}
	for _, n := range append(slices.Clone(clients), servers...) {
		if _, known := a.domainIndex[n.Domain]; !known {
			a.domainIndex[n.Domain] = len(a.domainIndex)
		}
	}
	for _, n := range servers {
		a.servers = append(a.servers, &server{
			Node: n, hash: hash(n.Name), domain: a.domainIndex[n.Domain], clientsByDomain: make([]int, len(a.domainIndex)),
		})
	}
	return a
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// choose chooses k servers for a client.
func (a *assignment) choose(node Node, k int) *client {
	c := &client{
		name: node.Name, hash: hash(node.Name), domain: a.domainIndex[node.Domain], linksByDomain: make([]int, len(a.domainIndex)),
	}
	for _, s := range a.servers {
		s.score = score(c, s)
	}
	for len(c.servers) < k {
		best := a.bestServer(c)
		best.addLinks(c, 1)
		c.servers = append(c.servers, best)
	}
	return c
}

// addLinks adds n to the number of links between a client and a server; n is 1 or -1.
func (s *server) addLinks(c *client, n int) {
	s.clients += n
	s.clientsByDomain[c.domain] += n
	c.linksByDomain[s.domain] += n
}

func score(c *client, s *server) uint64 { return mix(c.hash ^ s.hash) }

// bestServer returns the next server for a client.
func (a *assignment) bestServer(c *client) *server {
	var best *server
	for _, s := range a.servers {
		if (best == nil || a.prefers(c, s, best)) && !c.has(s) {
			best = s
		}
	}
	return best
}

// prefers reports whether a client takes s before another server. The criteria, in this order, are:
// fewer than targetClients clients, fewer links of this client to the server's failure domain,
// fewer clients of this client's failure domain at the server, and a higher score. Neither side
// therefore depends on a single failure domain.
//
// The number of clients comes before failure domains: a server above the target would permanently
// have more clients than all others, while a client with two servers in one domain still has
// servers in others.
func (a *assignment) prefers(c *client, s, other *server) bool {
	if x, y := s.clients < a.targetClients, other.clients < a.targetClients; x != y {
		return x
	}
	if x, y := c.linksByDomain[s.domain], c.linksByDomain[other.domain]; x != y {
		return x < y
	}
	if x, y := s.clientsByDomain[c.domain], other.clientsByDomain[c.domain]; x != y {
		return x < y
	}
	if s.score != other.score {
		return s.score > other.score
	}
	return s.Name < other.Name
}
