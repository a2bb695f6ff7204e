package ticket

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

const (
	// mintWindowDivisor limits minting to the first half of a block's lifetime, so that a
	// caller has at least the other half to use its ticket.
	mintWindowDivisor = 2
	// needBlockDivisor makes the minter ask for another block when a quarter of one block, or
	// of its time for minting, is left. The rest covers the round trip to the agent.
	needBlockDivisor = 4
	// maxRetiredIncarnations is the number of replaced incarnations remembered for each VM.
	maxRetiredIncarnations = 8
)

// Minter mints an entry's tickets from the blocks that agents have granted it.
type Minter struct {
	agents map[string]*agentBlocks
}

// agentBlocks holds the blocks granted by the agent on one VM.
type agentBlocks struct {
	incarnation string
	blocks      []*heldBlock
	// newestBlock is the highest block number added, valid if hasNewest is set.
	newestBlock uint64
	hasNewest   bool
	// retired lists the incarnations that were replaced, oldest first.
	retired []string
}

type heldBlock struct {
	block   *api.TicketBlock
	nextSeq uint32
	// mintFrom and mintUntil limit the time for minting, on the entry's own clock.
	mintFrom, mintUntil time.Duration
}

func (h *heldBlock) remaining(now time.Duration) uint32 {
	if now >= h.mintUntil {
		return 0
	}
	return h.block.GetCount() - h.nextSeq
}

// NewMinter returns an empty minter.
func NewMinter() *Minter {
	return &Minter{agents: make(map[string]*agentBlocks)}
}

// Add adds a block that an agent granted. The first block of a new incarnation replaces the
// blocks of the previous one. A delayed block of a replaced incarnation is ignored, because
// its tickets could only end with an unknown outcome.
func (m *Minter) Add(now time.Duration, b *api.TicketBlock) {
	if b.GetAgentVm() == "" || b.GetCount() == 0 {
		return
	}
	s := m.agents[b.GetAgentVm()]
	if s == nil {
		s = &agentBlocks{}
		m.agents[b.GetAgentVm()] = s
	}
	if slices.Contains(s.retired, b.GetIncarnation()) {
		return
	}
	if s.incarnation != b.GetIncarnation() {
		s.replaceIncarnation(b.GetIncarnation())
	}
	// Minting twice from a block that was delivered twice would give two callers the same
	// ticket, and one of them the other's answer. An agent numbers its blocks in ascending
	// order, so a number not above the newest is a duplicate or arrived out of order.
	if s.hasNewest && b.GetBlock() <= s.newestBlock {
		return
	}
	s.hasNewest, s.newestBlock = true, b.GetBlock()
	window := time.Duration(b.GetLifetimeMs()) * time.Millisecond / mintWindowDivisor
	held := &heldBlock{block: proto.CloneOf(b), mintFrom: now, mintUntil: now + window}
	s.blocks = append(s.usable(now), held)
}

func (s *agentBlocks) replaceIncarnation(incarnation string) {
	if s.incarnation != "" {
		s.retired = append(s.retired, s.incarnation)
	}
	if len(s.retired) > maxRetiredIncarnations {
		s.retired = s.retired[1:]
	}
	s.incarnation = incarnation
	s.blocks = nil
	s.hasNewest = false
}

// usable removes the blocks that cannot be minted from any more, and returns the rest.
func (s *agentBlocks) usable(now time.Duration) []*heldBlock {
	return slices.DeleteFunc(s.blocks, func(h *heldBlock) bool { return h.remaining(now) == 0 })
}

// Drop discards the blocks of an agent whose link is lost. Tickets minted before stay valid.
func (m *Minter) Drop(agentVM string) {
	if s := m.agents[agentVM]; s != nil {
		s.blocks = nil
	}
}

// Mint mints a ticket for a customer's request to the agent on the VM. It returns false if no
// block of that agent can be minted from.
func (m *Minter) Mint(now time.Duration, agentVM, customer string) (*api.Ticket, bool) {
	s := m.agents[agentVM]
	if s == nil {
		return nil, false
	}
	s.blocks = s.usable(now)
	if len(s.blocks) == 0 {
		return nil, false
	}
	h := s.blocks[0]
	t := &api.Ticket{
		AgentVm:     agentVM,
		Incarnation: s.incarnation,
		Block:       h.block.GetBlock(),
		Seq:         h.nextSeq,
		ExpiryMs:    h.block.GetExpiryMs(),
		Customer:    CustomerDigest(customer),
	}
	t.Mac = sign(h.block.GetKey(), t)
	h.nextSeq++
	return t, true
}

// NeedsBlock reports whether the entry should ask the agent on the VM for another block.
func (m *Minter) NeedsBlock(now time.Duration, agentVM string) bool {
	s := m.agents[agentVM]
	if s == nil {
		return true
	}
	var left uint32
	var timeLeft, window time.Duration
	var size uint32
	for _, h := range s.blocks {
		if h.remaining(now) == 0 {
			continue
		}
		left += h.remaining(now)
		size = max(size, h.block.GetCount())
		window = max(window, h.mintUntil-h.mintFrom)
		timeLeft = max(timeLeft, h.mintUntil-now)
	}
	return left <= size/needBlockDivisor || timeLeft <= window/needBlockDivisor
}
