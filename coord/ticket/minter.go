package ticket

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

const (
	// mintWindowDivisor is the part of a block's lifetime in which it is minted from: the
	// first half, so that a caller has at least the other half to use its ticket.
	mintWindowDivisor = 2
	// needBlockDivisor: another block is wanted when less than a quarter of one block, or of
	// its time for minting, is left. The rest bridges the round trip.
	needBlockDivisor = 4
	// maxRetiredIncarnations bounds the incarnations remembered as replaced, for each VM.
	maxRetiredIncarnations = 8
)

// Minter is an entry's stock of tickets, by agent.
type Minter struct {
	agents map[string]*agentBlocks
}

// agentBlocks is what a minter holds of one agent's VM.
type agentBlocks struct {
	incarnation string
	blocks      []*heldBlock
	// newestBlock is the highest block number taken in, if any was.
	newestBlock uint64
	hasNewest   bool
	// retired holds incarnations that were replaced, oldest first.
	retired []string
}

type heldBlock struct {
	block   *api.TicketBlock
	nextSeq uint32
	// mintFrom and mintUntil bound the time for minting, on the entry's own clock.
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

// Add takes in a block that an agent granted. The first block of a new incarnation
// replaces those of the one before, and a block of a replaced incarnation that
// arrives late is ignored: its tickets could only end as "outcome unknown".
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
	// Minted from twice, a block that was delivered twice would give two callers the
	// same ticket, and one of them the other's answer. An agent numbers its blocks
	// upwards, so a number not above the newest was taken in before or overtaken.
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

// usable returns the blocks that can still be minted from.
func (s *agentBlocks) usable(now time.Duration) []*heldBlock {
	return slices.DeleteFunc(s.blocks, func(h *heldBlock) bool { return h.remaining(now) == 0 })
}

// Drop forgets the blocks of an agent, when its link is lost. Tickets minted
// before stay good.
func (m *Minter) Drop(agentVM string) {
	if s := m.agents[agentVM]; s != nil {
		s.blocks = nil
	}
}

// Mint makes a ticket for a customer that the agent on the VM will run. It returns
// false when no block is held for it.
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

// NeedsBlock says that it is time to ask the agent on the VM for another block.
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
