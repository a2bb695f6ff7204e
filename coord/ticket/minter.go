package ticket

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

const (
	// mintShare is the part of a block's lifetime in which it is minted from: the
	// first half, so that a caller has at least the other half to use its ticket.
	mintShare = 2
	// lowShare: another block is wanted when less than a quarter of one block, or of
	// its time for minting, is left. The rest bridges the round trip.
	lowShare = 4
	// maxRetired bounds the incarnations remembered as replaced, for each VM.
	maxRetired = 8
)

// Minter is an entry's stock of tickets, by agent.
type Minter struct {
	agents map[string]*stock
}

// stock is what a minter holds of one agent's VM.
type stock struct {
	incarnation string
	blocks      []*heldBlock
	// newest is the highest block number taken in, if any was.
	newest uint64
	any    bool
	// retired holds incarnations that were replaced, oldest first.
	retired []string
}

type heldBlock struct {
	block *api.TicketBlock
	next  uint32
	// from and until bound the time for minting, on the entry's own clock.
	from, until time.Duration
}

func (h *heldBlock) left(now time.Duration) uint32 {
	if now >= h.until {
		return 0
	}
	return h.block.GetCount() - h.next
}

// NewMinter returns an empty minter.
func NewMinter() *Minter {
	return &Minter{agents: make(map[string]*stock)}
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
		s = &stock{}
		m.agents[b.GetAgentVm()] = s
	}
	if slices.Contains(s.retired, b.GetIncarnation()) {
		return
	}
	if s.incarnation != b.GetIncarnation() {
		s.replace(b.GetIncarnation())
	}
	// Minted from twice, a block that was delivered twice would give two callers the
	// same ticket, and one of them the other's answer. An agent numbers its blocks
	// upwards, so a number not above the newest was taken in before or overtaken.
	if s.any && b.GetBlock() <= s.newest {
		return
	}
	s.any, s.newest = true, b.GetBlock()
	window := time.Duration(b.GetLifetimeMs()) * time.Millisecond / mintShare
	held := &heldBlock{block: proto.CloneOf(b), from: now, until: now + window}
	s.blocks = append(s.live(now), held)
}

func (s *stock) replace(incarnation string) {
	if s.incarnation != "" {
		s.retired = append(s.retired, s.incarnation)
	}
	if len(s.retired) > maxRetired {
		s.retired = s.retired[1:]
	}
	s.incarnation = incarnation
	s.blocks = nil
	s.any = false
}

// live returns the blocks that can still be minted from.
func (s *stock) live(now time.Duration) []*heldBlock {
	return slices.DeleteFunc(s.blocks, func(h *heldBlock) bool { return h.left(now) == 0 })
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
	s.blocks = s.live(now)
	if len(s.blocks) == 0 {
		return nil, false
	}
	h := s.blocks[0]
	t := &api.Ticket{
		AgentVm:     agentVM,
		Incarnation: s.incarnation,
		Block:       h.block.GetBlock(),
		Seq:         h.next,
		ExpiryMs:    h.block.GetExpiryMs(),
		Customer:    CustomerDigest(customer),
	}
	t.Mac = sign(h.block.GetKey(), t)
	h.next++
	return t, true
}

// Low says that it is time to ask the agent on the VM for another block.
func (m *Minter) Low(now time.Duration, agentVM string) bool {
	s := m.agents[agentVM]
	if s == nil {
		return true
	}
	var left uint32
	var timeLeft, window time.Duration
	var size uint32
	for _, h := range s.blocks {
		if h.left(now) == 0 {
			continue
		}
		left += h.left(now)
		size = max(size, h.block.GetCount())
		window = max(window, h.until-h.from)
		timeLeft = max(timeLeft, h.until-now)
	}
	return left <= size/lowShare || timeLeft <= window/lowShare
}
