package place

// prefixWays is the number of servers remembered for prefixes that share a set.
const prefixWays = 4

// prefixTable remembers which servers were last given a prompt prefix. It has a
// fixed size and forgets the oldest of a set, so that its memory is bounded and
// a look-up costs the same for any number of prefixes. It may be wrong: a wrong
// holder costs one cache miss.
type prefixTable struct {
	slots []prefixSlot
	mask  uint64
}

type prefixSlot struct {
	prefix uint64
	server int32
}

func newPrefixTable(slots int) prefixTable {
	sets := uint64(1)
	for sets*prefixWays < uint64(slots) {
		sets *= 2
	}
	return prefixTable{slots: make([]prefixSlot, sets*prefixWays), mask: sets - 1}
}

// set returns the slots in which a prefix may stand, newest first.
func (p *prefixTable) set(prefix uint64) []prefixSlot {
	first := (prefix * 0x9E3779B97F4A7C15 >> 32 & p.mask) * prefixWays
	return p.slots[first : first+prefixWays]
}

// put notes that a server holds a prefix, and moves it to the front of its set.
func (p *prefixTable) put(prefix uint64, server int32) {
	if prefix == 0 {
		return
	}
	set := p.set(prefix)
	newest := prefixSlot{prefix: prefix, server: server}
	last := len(set) - 1
	for i, slot := range set {
		if slot == newest {
			last = i
			break
		}
	}
	copy(set[1:last+1], set[:last])
	set[0] = newest
}
