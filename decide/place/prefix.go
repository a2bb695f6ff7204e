package place

// prefixWays is the number of servers remembered for the prefixes of one set.
const prefixWays = 4

// prefixTable remembers which servers last got a prompt prefix. It has a fixed size and drops the
// oldest slot of a set, so that its memory is bounded and a look-up costs the same for any number
// of prefixes. It may be wrong, at the cost of one cache miss.
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

// set returns the slots of the set to which a prefix belongs, newest first.
func (p *prefixTable) set(prefix uint64) []prefixSlot {
	first := (prefix * 0x9E3779B97F4A7C15 >> 32 & p.mask) * prefixWays
	return p.slots[first : first+prefixWays]
}

// put records that a server holds a prefix, and moves it to the front of its set.
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
