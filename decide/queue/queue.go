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
	// WorkTime is the expected time of the work. The request is given up when less
	// than WorkTime and a margin is left before Deadline.
	WorkTime time.Duration
}

// startMargin is the ratio of the time left to the expected time of the work below which
// a request is given up: of requests begun with just the expected time left half
// would be late, and their work thrown away.
const startMargin = 1.3

// latestStart is when the request must begin at the latest.
func (i Item) latestStart() time.Duration {
	return i.Deadline - time.Duration(startMargin*float64(i.WorkTime))
}

// Queue is a bounded queue with shares.
type Queue struct {
	capacity int
	items    map[uint64]*node
	shares   map[string]*share
	ready    heap.Heap[*share]
	expiry   heap.Heap[*node]
	// virtualClock is the virtual time of the share served last.
	virtualClock float64
}

// share is the waiting work of one share.
type share struct {
	name    string
	waiting heap.Heap[*node]
	// virtualTime is the service received, in requests by weight.
	virtualTime float64
	index       int
}

type node struct {
	item Item
	// deadlineIndex and expiryIndex are the positions in the two heaps.
	deadlineIndex, expiryIndex int
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
		ready:    heap.Heap[*share]{Less: lessVirtualTime, Moved: func(s *share, i int) { s.index = i }},
		expiry:   heap.Heap[*node]{Less: lessLatestStart, Moved: func(n *node, i int) { n.expiryIndex = i }},
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
	if _, exists := q.items[item.ID]; exists {
		return false
	}
	n := &node{item: item}
	q.items[item.ID] = n
	q.expiry.Push(n)
	s := q.shareOf(item.Share)
	s.waiting.Push(n)
	if s.waiting.Len() == 1 {
		// A share that was idle saves up no claim on the time it did not use.
		s.virtualTime = max(s.virtualTime, q.virtualClock)
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
	latest := q.lastFinishTime(item.Share, weightOf(item), 1)
	var victim *share
	for _, s := range q.ready.All() {
		finish := q.lastFinishTime(s.name, weightOf(s.waiting.Top().item), 0)
		if finish > latest {
			latest, victim = finish, s
		}
	}
	if victim == nil {
		return Item{}, false
	}
	displaced := victim.lastToServe()
	q.remove(displaced)
	return displaced.item, q.Push(now, item)
}

// lastFinishTime is the virtual time at which the last of a share's requests is served,
// with some more of them.
func (q *Queue) lastFinishTime(name string, weight float64, extra int) float64 {
	s, ok := q.shares[name]
	if !ok {
		return q.virtualClock + float64(extra)/weight
	}
	return max(s.virtualTime, q.virtualClock) + float64(s.waiting.Len()+extra)/weight
}

// lastToServe is the waiting request of a share that would be served lastToServe.
func (s *share) lastToServe() *node {
	last := s.waiting.Top()
	for _, n := range s.waiting.All() {
		if lessPriorityThenDeadline(last, n) {
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
	q.virtualClock = s.virtualTime
	s.virtualTime += 1 / weightOf(n.item)
	q.ready.Fix(s.index)
	q.remove(n)
	return n.item, true
}

// RemoveExpired takes out every request that can't end before its deadline any more.
func (q *Queue) RemoveExpired(now time.Duration) []Item {
	var expired []Item
	for q.expiry.Len() > 0 {
		n := q.expiry.Top()
		if n.item.latestStart() >= now {
			break
		}
		expired = append(expired, n.item)
		q.remove(n)
	}
	return expired
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
		s.waiting = heap.Heap[*node]{Less: lessPriorityThenDeadline, Moved: func(n *node, i int) { n.deadlineIndex = i }}
		q.shares[name] = s
	}
	return s
}

func (q *Queue) remove(n *node) {
	delete(q.items, n.item.ID)
	q.expiry.Remove(n.expiryIndex)
	s := q.shares[n.item.Share]
	s.waiting.Remove(n.deadlineIndex)
	if s.waiting.Len() > 0 {
		return
	}
	q.ready.Remove(s.index)
	q.dropIdle(s)
}

// dropIdle drops a share with nothing waiting once its virtual time has passed, so
// that memory follows the customers who wait, not all who ever came.
func (q *Queue) dropIdle(s *share) {
	if s.virtualTime <= q.virtualClock || q.ready.Len() == 0 {
		delete(q.shares, s.name)
	}
}

func lessVirtualTime(a, b *share) bool { return a.virtualTime < b.virtualTime }

func lessLatestStart(a, b *node) bool { return a.item.latestStart() < b.item.latestStart() }

func lessPriorityThenDeadline(a, b *node) bool {
	if a.item.Priority != b.item.Priority {
		return a.item.Priority > b.item.Priority
	}
	return a.item.Deadline < b.item.Deadline
}
