package ticket

// ticketState is what has become of one ticket.
type ticketState int

const (
	// unused: not presented yet.
	unused ticketState = iota
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

const bitsPerWord = 64

func newBlock(size uint32, expiryMS int64) *block {
	words := (int(size) + bitsPerWord - 1) / bitsPerWord
	return &block{
		expiryMS: expiryMS,
		used:     make([]uint64, words),
		voided:   make([]uint64, words),
	}
}

func (b *block) state(seq uint32) ticketState {
	word, bit := seq/bitsPerWord, uint64(1)<<(seq%bitsPerWord)
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
	b.used[seq/bitsPerWord] |= 1 << (seq % bitsPerWord)
}

func (b *block) markVoided(seq uint32) {
	b.voided[seq/bitsPerWord] |= 1 << (seq % bitsPerWord)
}
