// Package queue keeps requests that wait, at an agent or at an entry.
//
// A Queue is bounded. Within one share the earliest deadline goes first; between
// shares the one that has been served least for its weight goes first. A request
// that can no longer end before its deadline comes out at once as a refusal.
//
// The caller passes the time, since process start, into every method. A Queue is
// not safe for use by several goroutines at once.
package queue

import (
	"time"

	"github.com/apricothub/apricothub/decide/internal/heap"
)

// Item is one waiting request.
type Item struct {
	// ID names the request.
	ID uint64
	// Share names whose share the request is served from, such as a customer.
	Share string
	// Weight is the weight of the share against others. Zero means 1.
	Weight float64
	// Priority puts a request before others of its share; higher goes first.
	Priority int
	// Deadline is when the answer must be whole.
	Deadline time.Duration
	// Need is the expected time of the work. The request is given up when less
	// than Need and a margin is left before Deadline.
	Need time.Duration
}

// margin is the ratio of the time left to the expected time of the work below which
// a request is given up: of requests begun with just the expected time left half
// would be late, and their work thrown away.
const margin = 1.3

// latestStart is when the request must begin at the latest.
func (i Item) latestStart() time.Duration {
	return i.Deadline - time.Duration(margin*float64(i.Need))
}

// Queue is a bounded queue with shares.
type Queue struct {
	capacity int
	items    map[uint64]*node
	shares   map[string]*share
	ready    heap.Heap[*share]
	expiry   heap.Heap[*node]
	// clock is the virtual time of the share served last.
	clock float64
}

// share is the waiting work of one share.
type share struct {
	name    string
	waiting heap.Heap[*node]
	// virtual is the service received, in requests by weight.
	virtual float64
	index   int
}

type node struct {
	item Item
	// byDeadline and byExpiry are the positions in the two heaps.
	byDeadline, byExpiry int
}

// New returns a queue for at most capacity requests.
//
// The bound keeps the wait short: what waits longer than its work takes is
// better refused, so that the caller can go elsewhere.
func New(capacity int) *Queue {
	return &Queue{
		capacity: capacity,
		items:    make(map[uint64]*node),
		shares:   make(map[string]*share),
		ready:    heap.Heap[*share]{Less: lessServed, Moved: func(s *share, i int) { s.index = i }},
		expiry:   heap.Heap[*node]{Less: lessStart, Moved: func(n *node, i int) { n.byExpiry = i }},
	}
}

// Len is the number of requests waiting.
func (q *Queue) Len() int { return len(q.items) }

// Push puts a request in. It returns false when the queue is full, when the
// request could not end in time, or when its ID is waiting already.
func (q *Queue) Push(now time.Duration, item Item) bool {
	if len(q.items) >= q.capacity || now > item.latestStart() {
		return false
	}
	if _, waits := q.items[item.ID]; waits {
		return false
	}
	n := &node{item: item}
	q.items[item.ID] = n
	q.expiry.Push(n)
	s := q.shareOf(item.Share)
	s.waiting.Push(n)
	if s.waiting.Len() == 1 {
		// A share that was idle saves up no claim on the time it did not use.
		s.virtual = max(s.virtual, q.clock)
		q.ready.Push(s)
	}
	return true
}

// Displace puts a request into a full queue in place of another, which it
// returns: the last one of the share that is served furthest ahead. It returns
// false when the request is itself the furthest ahead, or can't end in time.
//
// Load: one customer that fills every agent's queue. Harm prevented: a refusal of
// a customer within its share for one beyond it. The cost is one look at each
// share that waits, no more than the capacity.
func (q *Queue) Displace(now time.Duration, item Item) (Item, bool) {
	if now > item.latestStart() || len(q.items) < q.capacity {
		return Item{}, false
	}
	if _, waits := q.items[item.ID]; waits {
		return Item{}, false
	}
	ahead := q.lastTurn(item.Share, weightOf(item), 1)
	var victim *share
	for _, s := range q.ready.All() {
		turn := q.lastTurn(s.name, weightOf(s.waiting.Top().item), 0)
		if turn > ahead {
			ahead, victim = turn, s
		}
	}
	if victim == nil {
		return Item{}, false
	}
	out := victim.last()
	q.remove(out)
	return out.item, q.Push(now, item)
}

// lastTurn is the virtual time at which the last of a share's requests is served,
// with some more of them.
func (q *Queue) lastTurn(name string, weight float64, more int) float64 {
	s, ok := q.shares[name]
	if !ok {
		return q.clock + float64(more)/weight
	}
	return max(s.virtual, q.clock) + float64(s.waiting.Len()+more)/weight
}

// last is the waiting request of a share that would be served last.
func (s *share) last() *node {
	last := s.waiting.Top()
	for _, n := range s.waiting.All() {
		if lessDeadline(last, n) {
			last = n
		}
	}
	return last
}

func weightOf(item Item) float64 {
	if item.Weight <= 0 {
		return 1
	}
	return item.Weight
}

// Pop takes out the request to start next. Call Expired before it.
func (q *Queue) Pop() (Item, bool) {
	if q.ready.Len() == 0 {
		return Item{}, false
	}
	s := q.ready.Top()
	n := s.waiting.Top()
	q.clock = s.virtual
	s.virtual += 1 / weightOf(n.item)
	q.ready.Fix(s.index)
	q.remove(n)
	return n.item, true
}

// Expired takes out every request that can't end before its deadline any more.
func (q *Queue) Expired(now time.Duration) []Item {
	var out []Item
	for q.expiry.Len() > 0 {
		n := q.expiry.Top()
		if n.item.latestStart() >= now {
			break
		}
		out = append(out, n.item)
		q.remove(n)
	}
	return out
}

// Remove takes out one request, such as one whose caller has gone.
func (q *Queue) Remove(id uint64) (Item, bool) {
	n, ok := q.items[id]
	if !ok {
		return Item{}, false
	}
	q.remove(n)
	return n.item, true
}

// NextExpiry is when Expired has something to return at the latest.
func (q *Queue) NextExpiry() (time.Duration, bool) {
	if q.expiry.Len() == 0 {
		return 0, false
	}
	return q.expiry.Top().item.latestStart() + 1, true
}

func (q *Queue) shareOf(name string) *share {
	s, ok := q.shares[name]
	if !ok {
		s = &share{name: name, index: -1}
		s.waiting = heap.Heap[*node]{Less: lessDeadline, Moved: func(n *node, i int) { n.byDeadline = i }}
		q.shares[name] = s
	}
	return s
}

func (q *Queue) remove(n *node) {
	delete(q.items, n.item.ID)
	q.expiry.Remove(n.byExpiry)
	s := q.shares[n.item.Share]
	s.waiting.Remove(n.byDeadline)
	if s.waiting.Len() > 0 {
		return
	}
	q.ready.Remove(s.index)
	q.forget(s)
}

// forget drops a share with nothing waiting once its virtual time has passed, so
// that memory follows the customers who wait, not all who ever came.
func (q *Queue) forget(s *share) {
	if s.virtual <= q.clock || q.ready.Len() == 0 {
		delete(q.shares, s.name)
	}
}

func lessServed(a, b *share) bool { return a.virtual < b.virtual }

func lessStart(a, b *node) bool { return a.item.latestStart() < b.item.latestStart() }

func lessDeadline(a, b *node) bool {
	if a.item.Priority != b.item.Priority {
		return a.item.Priority > b.item.Priority
	}
	return a.item.Deadline < b.item.Deadline
}
