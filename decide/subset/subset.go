// Package subset chooses which links a client makes when there are too many servers
// to link to all of them: which agents an entry dials for a model, for example. All
// processes that see the same lists make the same choice, without a message.
//
// The choice is made for the load of many clients with about as much work each, and
// of VMs that come and go all day. Without balance, servers with few clients stand
// idle while those with many are full, however well each client places its work;
// without stability, each VM that is replaced cuts links all over the system.
package subset

import (
	"cmp"
	"slices"
)

// Node is one VM on either side of the links.
type Node struct {
	Name   string
	Domain string // failure domain
}

// Assign returns, for each client by name, the names of the servers that it links to:
// k of them, or all if there are not as many. No two servers differ by more than two
// in their clients, and none is left without while another has two.
//
// The clients choose in an order of their own by hash. Each takes the servers for
// which its rendezvous score is highest among those that still have room, from the
// failure domains that it has fewest of. Then servers that were left with too few get
// clients of those with most. A VM that comes or goes moves the links that it had
// itself and those that the changed room pushes on.
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

// ForClient returns the choice of one client in [Assign], nil for a client not in the list.
func ForClient(client string, clients, servers []Node, k int) []string {
	return Assign(clients, servers, k)[client]
}

// sortClients returns the clients in the order in which they choose. It is the same for
// all processes, whatever the order of their lists, and one client more or less leaves
// the order of the others.
func sortClients(clients []Node) []Node {
	sorted := slices.Clone(clients)
	slices.SortFunc(sorted, func(a, b Node) int {
		return cmp.Or(cmp.Compare(hash(a.Name), hash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

// server is one server with the clients that it has so far, in all and by the failure
// domain of the client.
type server struct {
	Node
	hash            uint64
	domain          int
	clients         int
	clientsByDomain []int
	score           uint64 // for the client that is choosing
}

// client is one client with its choice.
type client struct {
	name          string
	hash          uint64
	domain        int
	servers       []*server
	linksByDomain []int // servers by domain
}

func (c *client) has(s *server) bool { return slices.Contains(c.servers, s) }

// assignment is the state while clients choose one after another.
type assignment struct {
	servers       []*server
	clients       []*client
	domainIndex   map[string]int // numbers
	targetClients int            // of a server: the mean number of clients, rounded up
}

// newAssignment has no links yet; there will be so many.
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

// choose takes k servers for a client.
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

// addLinks counts a link between a client and a server, or takes it back.
func (s *server) addLinks(c *client, n int) {
	s.clients += n
	s.clientsByDomain[c.domain] += n
	c.linksByDomain[s.domain] += n
}

func score(c *client, s *server) uint64 { return mix(c.hash ^ s.hash) }

// bestServer returns the server that the client takes next.
func (a *assignment) bestServer(c *client) *server {
	var best *server
	for _, s := range a.servers {
		if (best == nil || a.prefers(c, s, best)) && !c.has(s) {
			best = s
		}
	}
	return best
}

// prefers says whether a client takes s before another server: one with room before
// one without, a domain with fewer links of this client before one with more, a server
// with fewer clients of this one's domain before one with more, and then the higher
// score. So neither side hangs on one failure domain.
//
// Room goes before domains: a server over its room would have more clients than all
// others for good, while a client with two servers in one domain still has others.
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
