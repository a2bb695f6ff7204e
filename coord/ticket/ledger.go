package ticket

import (
	"crypto/hmac"
	"time"

	"github.com/apricothub/apricothub/api"
)

// Limits limits what a ledger grants and remembers. A zero field takes its default.
type Limits struct {
	// BlockSize is the number of tickets in a block; 256 by default.
	BlockSize uint32
	// Lifetime is how long after the grant of its block a ticket can be used; 10 minutes by
	// default.
	Lifetime time.Duration
	// MaxBlocks is the number of blocks remembered, at two bits per ticket; 16384 by default,
	// which takes 1 MB.
	MaxBlocks int
	// MaxAnswersGone is the number of used tickets whose request digest is remembered after
	// their answer was discarded; 65536 by default, which takes about 8 MB.
	MaxAnswersGone int
}

const (
	defaultBlockSize      = 256
	defaultLifetime       = 10 * time.Minute
	defaultMaxBlocks      = 16384
	defaultMaxAnswersGone = 65536
)

func (l Limits) withDefaults() Limits {
	if l.BlockSize == 0 {
		l.BlockSize = defaultBlockSize
	}
	if l.Lifetime <= 0 {
		l.Lifetime = defaultLifetime
	}
	if l.MaxBlocks <= 0 {
		l.MaxBlocks = defaultMaxBlocks
	}
	if l.MaxAnswersGone <= 0 {
		l.MaxAnswersGone = defaultMaxAnswersGone
	}
	return l
}

// ticketID identifies a ticket within one incarnation.
type ticketID struct {
	block uint64
	seq   uint32
}

// binding ties a used ticket to the request that it was first used with.
type binding struct {
	request  [32]byte
	answerID string
	// ran is the outcome of the run; unspecified while the request runs.
	ran api.Ran
	// answerGone is set once the answer was discarded.
	answerGone bool
}

// Stats counts a ledger's decisions and contents.
type Stats struct {
	// Blocks and Bindings count what is held now.
	Blocks   int
	Bindings int
	// Granted and Forgotten count blocks since the start.
	Granted   uint64
	Forgotten uint64
	// Used, Joined, Voided and Refused count decisions since the start.
	Used    uint64
	Joined  uint64
	Voided  uint64
	Refused uint64
}

// Ledger records the state of the tickets that an agent has granted. It alone decides whether
// one of them runs.
type Ledger struct {
	vm          string
	incarnation string
	key         []byte
	limits      Limits

	// nextBlock is the number of the next block to grant, oldestBlock that of the oldest block
	// remembered.
	nextBlock   uint64
	oldestBlock uint64
	blocks      map[uint64]*block

	bindings map[ticketID]*binding
	// answersGone lists the used tickets whose answer was discarded, oldest first.
	answersGone []ticketID

	stats Stats
}

// NewLedger returns the ledger of one incarnation of the agent on a VM. The key must be random
// and made for this incarnation alone: an agent must not accept tickets granted by its
// predecessor, because it doesn't know which of them ran.
func NewLedger(vm, incarnation string, key []byte, limits Limits) *Ledger {
	return &Ledger{
		vm:          vm,
		incarnation: incarnation,
		key:         append([]byte(nil), key...),
		limits:      limits.withDefaults(),
		blocks:      make(map[uint64]*block),
		bindings:    make(map[ticketID]*binding),
	}
}

// Grant makes a block for an entry to mint from. It returns nil if MaxBlocks blocks are held
// and the oldest has not expired: the entry then has no tickets to give out, which is better
// than forgetting the state of tickets that callers still hold.
func (l *Ledger) Grant(now time.Duration) *api.TicketBlock {
	if len(l.blocks) >= l.limits.MaxBlocks && !l.forgetOldestBlock(now) {
		return nil
	}
	number := l.nextBlock
	l.nextBlock++
	l.stats.Granted++
	expiryMS := (now + l.limits.Lifetime).Milliseconds()
	l.blocks[number] = newBlock(l.limits.BlockSize, expiryMS)
	return &api.TicketBlock{
		AgentVm:     l.vm,
		Incarnation: l.incarnation,
		Block:       number,
		Count:       l.limits.BlockSize,
		Key:         blockKey(l.key, number, expiryMS),
		LifetimeMs:  l.limits.Lifetime.Milliseconds(),
		ExpiryMs:    expiryMS,
	}
}

// forgetOldestBlock drops the oldest block if it has expired. From then on its tickets are
// refused as unknown, whether they were used or not.
func (l *Ledger) forgetOldestBlock(now time.Duration) bool {
	oldest := l.blocks[l.oldestBlock]
	if oldest == nil || !expired(now, oldest.expiryMS) {
		return false
	}
	for seq := range l.limits.BlockSize {
		delete(l.bindings, ticketID{block: l.oldestBlock, seq: seq})
	}
	delete(l.blocks, l.oldestBlock)
	l.oldestBlock++
	l.stats.Forgotten++
	return true
}

func expired(now time.Duration, expiryMS int64) bool {
	return now.Milliseconds() >= expiryMS
}

// Begin decides on a request that the agent is ready to hand to its backend server. The first
// time it marks the ticket as used and returns Run; call it only right before the run, after
// any queue. It binds the request's digest and the answer's id to the ticket, so that a retry
// of the same request joins the answer and another request is refused.
func (l *Ledger) Begin(now time.Duration, t *api.Ticket, customer string, request [32]byte, answerID string) Decision {
	b, d := l.findBlock(t, customer)
	if b == nil {
		return l.countDecision(d)
	}
	if b.state(t.GetSeq()) != unused {
		return l.countDecision(l.decideUsedOrVoided(b, t, &request))
	}
	if expired(now, b.expiryMS) {
		l.void(b, t)
		return l.countDecision(refusedExpired)
	}
	b.markUsed(t.GetSeq())
	l.bindings[idOf(t)] = &binding{request: request, answerID: answerID}
	return l.countDecision(Decision{Action: Run, AnswerID: answerID})
}

// Void refuses a request for the reason given, such as draining. It voids the ticket first:
// otherwise a copy of the request that arrives later could still run although the caller was
// told "not run". For a ticket that was used before it returns what Begin would return, never
// "not run".
func (l *Ledger) Void(now time.Duration, t *api.Ticket, customer string, request [32]byte, reason api.ResultCode) Decision {
	b, d := l.findBlock(t, customer)
	if b == nil {
		return l.countDecision(d)
	}
	if b.state(t.GetSeq()) != unused {
		return l.countDecision(l.decideUsedOrVoided(b, t, &request))
	}
	l.void(b, t)
	if expired(now, b.expiryMS) {
		return l.countDecision(refusedExpired)
	}
	return l.countDecision(refuse(reason, api.Ran_RAN_NO, "The ticket was voided; take a new one."))
}

// Settle returns the outcome of a ticket. A ticket that was not presented yet is voided first:
// an earlier copy of the request may still be delayed in an unresponsive link, and could run
// after the caller was told "not run". Join names the answer of a run, whether it has ended
// or not.
func (l *Ledger) Settle(now time.Duration, t *api.Ticket, customer string) Decision {
	b, d := l.findBlock(t, customer)
	if b == nil {
		return l.countDecision(d)
	}
	if b.state(t.GetSeq()) != unused {
		return l.countDecision(l.decideUsedOrVoided(b, t, nil))
	}
	l.void(b, t)
	if expired(now, b.expiryMS) {
		return l.countDecision(refusedExpired)
	}
	return l.countDecision(refusedVoided)
}

// Abandon voids a ticket for which Begin returned Run, if the backend server cannot have
// received any of the request: it was still queued, or the connection was refused. Afterwards
// the caller can be told "not run", and no copy of the request runs.
func (l *Ledger) Abandon(t *api.Ticket) {
	bound := l.bindings[idOf(t)]
	if bound == nil || bound.ran != api.Ran_RAN_UNSPECIFIED {
		return
	}
	if b := l.blocks[t.GetBlock()]; b != nil {
		l.void(b, t)
	}
	delete(l.bindings, idOf(t))
}

// RecordOutcome records how the run of a ticket ended; only the first call counts. With
// RAN_YES the ledger can still tell that the request ran after its answer was discarded;
// otherwise the outcome is then unknown. RAN_NO abandons the ticket.
func (l *Ledger) RecordOutcome(t *api.Ticket, ran api.Ran) {
	if ran == api.Ran_RAN_NO {
		l.Abandon(t)
		return
	}
	if bound := l.bindings[idOf(t)]; bound != nil && bound.ran == api.Ran_RAN_UNSPECIFIED {
		bound.ran = ran
	}
}

// ForgetAnswer records that the answer of a ticket was discarded.
func (l *Ledger) ForgetAnswer(t *api.Ticket) {
	id := idOf(t)
	bound := l.bindings[id]
	if bound == nil || bound.answerGone {
		return
	}
	bound.answerGone = true
	bound.answerID = ""
	l.answersGone = append(l.answersGone, id)
	// Without this limit a busy agent would keep a digest for every request that it ever ran.
	// The used bit stays, so that a ticket whose binding is dropped never runs again.
	for len(l.answersGone) > l.limits.MaxAnswersGone {
		delete(l.bindings, l.answersGone[0])
		l.answersGone = l.answersGone[1:]
	}
}

// Stats returns the current counts.
func (l *Ledger) Stats() Stats {
	s := l.stats
	s.Blocks = len(l.blocks)
	s.Bindings = len(l.bindings)
	return s
}

// findBlock returns the block of a ticket that this ledger granted to this customer, or nil
// and the refusal.
func (l *Ledger) findBlock(t *api.Ticket, customer string) (*block, Decision) {
	if t.GetAgentVm() != l.vm {
		return nil, refusedForeign
	}
	if t.GetIncarnation() != l.incarnation {
		return nil, refusedOtherIncarnation
	}
	if !l.isGenuine(t) {
		return nil, refusedInvalid
	}
	if !hmac.Equal(t.GetCustomer(), CustomerDigest(customer)) {
		return nil, refusedForeign
	}
	b := l.blocks[t.GetBlock()]
	if b == nil {
		return nil, refusedForgotten
	}
	return b, Decision{}
}

// isGenuine checks the MAC. It needs no record of the block, so that a ticket of a forgotten
// block can be distinguished from a forged one.
func (l *Ledger) isGenuine(t *api.Ticket) bool {
	if t.GetBlock() >= l.nextBlock || t.GetSeq() >= l.limits.BlockSize {
		return false
	}
	key := blockKey(l.key, t.GetBlock(), t.GetExpiryMs())
	return hmac.Equal(t.GetMac(), sign(key, t))
}

// decideUsedOrVoided decides on a ticket that was used or voided before. A nil request matches
// any request that was bound.
func (l *Ledger) decideUsedOrVoided(b *block, t *api.Ticket, request *[32]byte) Decision {
	if b.state(t.GetSeq()) == voided {
		return refusedVoided
	}
	bound := l.bindings[idOf(t)]
	if bound == nil {
		return refusedForgotten
	}
	if request != nil && bound.request != *request {
		return refusedReused
	}
	if !bound.answerGone {
		return Decision{Action: Join, AnswerID: bound.answerID}
	}
	if bound.ran == api.Ran_RAN_YES {
		return refusedAnswerGone
	}
	return refusedOutcomeUnknown
}

func (l *Ledger) void(b *block, t *api.Ticket) {
	b.markVoided(t.GetSeq())
	l.stats.Voided++
}

func (l *Ledger) countDecision(d Decision) Decision {
	switch d.Action {
	case Run:
		l.stats.Used++
	case Join:
		l.stats.Joined++
	case Refuse:
		l.stats.Refused++
	}
	return d
}

func idOf(t *api.Ticket) ticketID {
	return ticketID{block: t.GetBlock(), seq: t.GetSeq()}
}
