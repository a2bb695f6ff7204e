package config

import "maps"

// copyOnWrite is a map that is copied before a change only if a View shares it. Records folded in
// one batch thus cost one copy at most, and a View costs none by itself.
type copyOnWrite[K comparable, V any] struct {
	entries map[K]V
	shared  bool
}

// share returns the map for reading. The returned map is never changed afterwards.
func (c *copyOnWrite[K, V]) share() map[K]V {
	c.shared = true
	return c.entries
}

// edit returns the map for changes.
func (c *copyOnWrite[K, V]) edit() map[K]V {
	switch {
	case c.entries == nil:
		c.entries = make(map[K]V)
	case c.shared:
		c.entries = maps.Clone(c.entries)
	}
	c.shared = false
	return c.entries
}
