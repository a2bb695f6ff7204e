package subset

import (
	"cmp"
	"slices"
)

// FallbackOrder returns the servers that a client does not link to, in the order in which it
// would take them when some of its own are lost: in turns over the failure domains, and
// within a domain by rendezvous score. Clients of one server that is lost go to different
// ones, since the score differs by client.
func FallbackOrder(client string, servers []Node, assigned []string) []string {
	c := newFallbackChooser(client, servers, assigned)
	order := make([]string, 0, len(c.candidates))
	for len(c.candidates) > 0 {
		order = append(order, c.next())
	}
	return order
}

// fallbackChooser takes one server after another.
type fallbackChooser struct {
	candidates    []Node // by score, the highest first
	linksByDomain map[string]int
}

func newFallbackChooser(client string, servers []Node, assigned []string) *fallbackChooser {
	c := &fallbackChooser{linksByDomain: make(map[string]int)}
	for _, s := range servers {
		if slices.Contains(assigned, s.Name) {
			c.linksByDomain[s.Domain]++
			continue
		}
		c.candidates = append(c.candidates, s)
	}
	clientHash := hash(client)
	slices.SortFunc(c.candidates, func(a, b Node) int {
		x, y := mix(clientHash^hash(a.Name)), mix(clientHash^hash(b.Name))
		return cmp.Or(cmp.Compare(y, x), cmp.Compare(a.Name, b.Name))
	})
	return c
}

// next takes the best server of a domain of which fewest are taken.
func (c *fallbackChooser) next() string {
	best := 0
	for i, s := range c.candidates {
		if c.linksByDomain[s.Domain] < c.linksByDomain[c.candidates[best].Domain] {
			best = i
		}
	}
	s := c.candidates[best]
	c.candidates = slices.Delete(c.candidates, best, best+1)
	c.linksByDomain[s.Domain]++
	return s.Name
}
