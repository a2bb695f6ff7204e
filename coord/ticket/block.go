package ticket

// ticketState is whether a ticket was used or voided.
type ticketState int

const (
	// unused means that the ticket was not presented yet.
	unused ticketState = iota
	// used means that the request was handed to the backend server, or is about to be.
	used
	// voided means that the ticket never ran and never will.
	voided
)

// block holds the state of all tickets of one granted block in two bits per ticket.
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
