package subset

import (
	"cmp"
	"slices"
)

// Further returns the servers that a client does not link to, in the order in which it
// would take them when some of its own are lost: in turns over the failure domains, and
// within a domain by rendezvous score. Clients of one server that is lost go to different
// ones, since the score differs by client.
func Further(client string, servers []Node, own []string) []string {
	c := newChooser(client, servers, own)
	further := make([]string, 0, len(c.left))
	for len(c.left) > 0 {
		further = append(further, c.next())
	}
	return further
}

// chooser takes one server after another.
type chooser struct {
	left  []Node // by score, the highest first
	taken map[string]int
}

func newChooser(client string, servers []Node, own []string) *chooser {
	c := &chooser{taken: make(map[string]int)}
	for _, s := range servers {
		if slices.Contains(own, s.Name) {
			c.taken[s.Domain]++
			continue
		}
		c.left = append(c.left, s)
	}
	of := hash(client)
	slices.SortFunc(c.left, func(a, b Node) int {
		x, y := mix(of^hash(a.Name)), mix(of^hash(b.Name))
		return cmp.Or(cmp.Compare(y, x), cmp.Compare(a.Name, b.Name))
	})
	return c
}

// next takes the best server of a domain of which fewest are taken.
func (c *chooser) next() string {
	best := 0
	for i, s := range c.left {
		if c.taken[s.Domain] < c.taken[c.left[best].Domain] {
			best = i
		}
	}
	s := c.left[best]
	c.left = slices.Delete(c.left, best, best+1)
	c.taken[s.Domain]++
	return s.Name
}
