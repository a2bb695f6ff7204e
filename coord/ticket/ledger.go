package ticket

import (
	"crypto/hmac"
	"time"

	"github.com/apricothub/apricothub/api"
)

// Limits bounds what a ledger grants and remembers. A zero field takes its default.
type Limits struct {
	// BlockSize is the number of tickets in a block; 256 by default.
	BlockSize uint32
	// Lifetime is the time a ticket may wait to be used, counted from the grant of
	// its block; 10 minutes by default.
	Lifetime time.Duration
	// MaxBlocks is the number of blocks remembered, at two bits a ticket; 16384 by
	// default, which is 1 MB.
	MaxBlocks int
	// MaxAnswersGone is the number of used tickets whose request is remembered although
	// their answer is not held any more; 65536 by default, about 8 MB.
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

// ticketID names a ticket within one incarnation.
type ticketID struct {
	block uint64
	seq   uint32
}

// binding ties a used ticket to the request it was first used with.
type binding struct {
	request  [32]byte
	answerID string
	// ran is how the run ended; unspecified while it goes on.
	ran api.Ran
	// answerGone: the answer is not held any more.
	answerGone bool
}

// Stats counts what a ledger has done and holds.
type Stats struct {
	// Blocks and Bindings are held now.
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

// Ledger is an agent's memory of the tickets it has granted. It alone decides
// whether one of them runs.
type Ledger struct {
	vm          string
	incarnation string
	key         []byte
	limits      Limits

	// nextBlock is the number of the nextBlock block; first is the oldest one remembered.
	nextBlock   uint64
	oldestBlock uint64
	blocks      map[uint64]*block

	bindings map[ticketID]*binding
	// answersGone lists used tickets whose answer is not held, oldest first.
	answersGone []ticketID

	stats Stats
}

// NewLedger returns the ledger of one incarnation of the agent on a VM. The key
// must be random and made for this incarnation alone: a replaced agent must not
// accept what its predecessor granted, for it does not know what that one ran.
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

// Grant makes a block for an entry to mint from. It returns nil when the bound on
// memory is reached by blocks that have not expired: the entry then has no
// tickets to give, which is better than tickets whose fate is forgotten while
// callers still hold them.
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

// forgetOldestBlock drops the oldest block if it has expired. From then on its tickets
// are "no longer known", whether they were used or not.
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

// Begin decides on a request that the agent is ready to hand to its backend
// server now. The first time it marks the ticket as used and says Run; call it
// only when nothing stands between the decision and the run, after any queue. The
// request's digest and the answer's name are bound to the ticket, so that the same
// request again joins the answer and another one is refused.
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

// Void refuses a request for the reason given, such as draining. It voids the
// ticket first: without that, a copy of the request that comes later could still
// run, and "not run" would have been a lie. A ticket that was used before gets
// what Begin would say, never "not run".
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

// Settle answers what became of a ticket. One that was not seen is voided before
// the answer: an earlier copy may still sit in a silent link, so that "not seen"
// alone proves nothing. Join names the answer of a run, ended or not.
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

// Abandon voids a ticket for which Begin said Run, when the backend server cannot
// have seen any of the request: it was still queued, or the connection was refused.
// After it "not run" is true, and no copy runs.
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

// RecordOutcome records how the run of a ticket ended, once. RAN_YES lets the ledger say
// later that it ran; without it, the outcome is unknown once the answer is gone.
// RAN_NO abandons the ticket.
func (l *Ledger) RecordOutcome(t *api.Ticket, ran api.Ran) {
	if ran == api.Ran_RAN_NO {
		l.Abandon(t)
		return
	}
	if bound := l.bindings[idOf(t)]; bound != nil && bound.ran == api.Ran_RAN_UNSPECIFIED {
		bound.ran = ran
	}
}

// ForgetAnswer says that the answer of a ticket is not held any more.
func (l *Ledger) ForgetAnswer(t *api.Ticket) {
	id := idOf(t)
	bound := l.bindings[id]
	if bound == nil || bound.answerGone {
		return
	}
	bound.answerGone = true
	bound.answerID = ""
	l.answersGone = append(l.answersGone, id)
	// Without this bound a busy agent would keep a digest for each request of its
	// life. The used bit stays, so a dropped one is never run again.
	for len(l.answersGone) > l.limits.MaxAnswersGone {
		delete(l.bindings, l.answersGone[0])
		l.answersGone = l.answersGone[1:]
	}
}

// Stats returns the counts so far.
func (l *Ledger) Stats() Stats {
	s := l.stats
	s.Blocks = len(l.blocks)
	s.Bindings = len(l.bindings)
	return s
}

// findBlock returns the block of a ticket that this ledger granted to this customer,
// or nil and the refusal.
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

// isGenuine checks the MAC. It needs no memory of the block, so a ticket of a
// forgotten block is told from a forged one.
func (l *Ledger) isGenuine(t *api.Ticket) bool {
	if t.GetBlock() >= l.nextBlock || t.GetSeq() >= l.limits.BlockSize {
		return false
	}
	key := blockKey(l.key, t.GetBlock(), t.GetExpiryMs())
	return hmac.Equal(t.GetMac(), sign(key, t))
}

// decideUsedOrVoided says what became of a ticket that was used or voided. With no request, it
// answers for whichever request was bound.
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
