package ticket

// use is what has become of one ticket.
type use int

const (
	// unused: not presented yet.
	unused use = iota
	// used: handed to the backend server, or about to be.
	used
	// voided: it never ran and never will.
	voided
)

// block is the agent's memory of one granted block: two bits a ticket.
type block struct {
	expiryMS int64
	used     []uint64
	voided   []uint64
}

const wordBits = 64

func newBlock(size uint32, expiryMS int64) *block {
	words := (int(size) + wordBits - 1) / wordBits
	return &block{
		expiryMS: expiryMS,
		used:     make([]uint64, words),
		voided:   make([]uint64, words),
	}
}

func (b *block) use(seq uint32) use {
	word, bit := seq/wordBits, uint64(1)<<(seq%wordBits)
	switch {
	case b.voided[word]&bit != 0:
		return voided
	case b.used[word]&bit != 0:
		return used
	default:
		return unused
	}
}

func (b *block) markUsed(seq uint32) {
	b.used[seq/wordBits] |= 1 << (seq % wordBits)
}

func (b *block) markVoided(seq uint32) {
	b.voided[seq/wordBits] |= 1 << (seq % wordBits)
}
