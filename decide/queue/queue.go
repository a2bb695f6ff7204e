// Package queue keeps queued requests, at an agent or at an entry.
//
// A Queue has a limited length. Within one share the earliest deadline goes first; between shares,
// the one that was served least for its weight goes first (weighted fair queueing). A request that
// can no longer end before its deadline is removed at once, to be refused.
//
// The caller passes the time since the process start to every method. A Queue is not safe for
// concurrent use.
package queue

import (
	"time"

	"github.com/apricothub/apricothub/decide/internal/heap"
)

// Item is one queued request.
type Item struct {
	// ID identifies the request.
	ID uint64
	// Share names the share that the request counts against, such as a customer.
	Share string
	// Weight is the weight of the share relative to others. Zero means 1.
	Weight float64
	// Priority puts a request before others of its share; higher goes first.
	Priority int
	// Deadline is when the answer must be complete.
	Deadline time.Duration
	// WorkTime is the expected time of the work. The request is given up when less than startMargin
	// times WorkTime is left before Deadline.
	WorkTime time.Duration
}

// startMargin is the ratio of the time left to the expected time of the work below which a request
// is given up. Of requests that start with just the expected time left, half would be late and
// their work wasted.
const startMargin = 1.3

// latestStart returns the latest time at which the request must start.
func (i Item) latestStart() time.Duration {
	return i.Deadline - time.Duration(startMargin*float64(i.WorkTime))
}

// Queue is a weighted fair queue of limited length.
type Queue struct {
	capacity int
	items    map[uint64]*node
	shares   map[string]*share
	ready    heap.Heap[*share]
	expiry   heap.Heap[*node]
	// virtualClock is the virtual time of the share served last.
	virtualClock float64
}

// share holds the queued requests of one share.
type share struct {
	name    string
	waiting heap.Heap[*node]
	// virtualTime is the service received so far: requests divided by weight.
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
// The limit keeps the queueing time short: a request that would be queued for longer than its work
// takes is better refused, so that the caller can go elsewhere.
func New(capacity int) *Queue {
	return &Queue{
		capacity: capacity,
		items:    make(map[uint64]*node),
		shares:   make(map[string]*share),
		ready:    heap.Heap[*share]{Less: lessVirtualTime, Moved: func(s *share, i int) { s.index = i }},
		expiry:   heap.Heap[*node]{Less: lessLatestStart, Moved: func(n *node, i int) { n.expiryIndex = i }},
	}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.items) }

// Push adds a request. It returns false when the queue is full, when the request could not end in
// time, or when its ID is queued already.
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
		// A share that was idle gets no credit for the time that it did not use.
		s.virtualTime = max(s.virtualTime, q.virtualClock)
		q.ready.Push(s)
	}
	return true
}

// Displace adds a request to a full queue in place of another one, which it returns: the last
// request of the share with the latest virtual finish time. It returns false when the new request
// itself would finish last, or can't end in time.
//
// Without this, a customer that fills the queues of all agents beyond its share would cause
// refusals of customers within theirs. The cost is one check of each share with queued requests, of
// which there are no more than the capacity.
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

// lastFinishTime returns the virtual time at which the last request of a share is served, with
// extra more of them queued.
func (q *Queue) lastFinishTime(name string, weight float64, extra int) float64 {
	s, ok := q.shares[name]
	if !ok {
		return q.virtualClock + float64(extra)/weight
	}
	return max(s.virtualTime, q.virtualClock) + float64(s.waiting.Len()+extra)/weight
}

// lastToServe returns the queued request of a share that would be served last.
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

// Pop removes and returns the request to start next. Call RemoveExpired before it.
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

// RemoveExpired removes and returns every request that can no longer end before its deadline.
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

// Remove removes one request, such as one whose caller has disconnected.
func (q *Queue) Remove(id uint64) (Item, bool) {
	n, ok := q.items[id]
	if !ok {
		return Item{}, false
	}
	q.remove(n)
	return n.item, true
}

// NextExpiry returns the next time at which RemoveExpired has something to return.
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

// dropIdle deletes a share without queued requests once its virtual time has passed, so that memory
// follows the number of customers with queued requests, not that of all who ever sent one.
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
