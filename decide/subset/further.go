package subset

import (
	"cmp"
	"slices"
)

// FallbackOrder returns the servers that are not assigned to a client, in the order in which they
// replace lost ones. The order alternates between failure domains, and within a domain it follows
// the rendezvous score. The score differs between clients, so that the clients of a lost server
// move to different ones.
func FallbackOrder(client string, servers []Node, assigned []string) []string {
	c := newFallbackChooser(client, servers, assigned)
	order := make([]string, 0, len(c.candidates))
	for len(c.candidates) > 0 {
		order = append(order, c.next())
	}
	return order
}

// fallbackChooser chooses one server after another.
type fallbackChooser struct {
	candidates    []Node // by descending score
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

// next removes and returns the best candidate from the failure domain with the fewest links.
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
