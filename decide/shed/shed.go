// Package shed decides which connections of clients are closed when all together reach a bound on their number or on
// the memory that is held for them.
//
// The pattern is load shedding by progress: a connection whose request is being served is never closed. At the bound on
// connections those that have come the least far are closed first, and in a phase the one that has waited the longest, so
// that clients that connect anew push out each other and not the ones that use their connections. At the bound on memory
// it is the connection that has held the most for the longest.
//
// Time is an argument, counted since the process started. A Table is not safe for concurrent use.
package shed

import (
	"container/list"
	"time"
)

// Phase is how far a connection has come.
type Phase uint8

// Phases of a connection.
const (
	// Refused connections have had their final answer and are open only for the client to read it.
	Refused Phase = iota
	// Opening connections have not sent a whole header yet.
	Opening
	// Idle connections have no request after earlier ones, or send the header of the next one.
	Idle
	// Sending connections send the body of a request.
	Sending
	// Stalled connections have a client that takes nothing of its answer.
	Stalled
	// InFlight connections have a request that is being served. They are not closed.
	InFlight
	phases
)

const (
	// openingTime is how long a new connection may take to send its header before it is closed in place of an idle one.
	openingTime = time.Second
	// minOpeningTime is how long a new connection is at least left to send its header. Clients that connect anew all the
	// time would otherwise push out others before their headers are read.
	minOpeningTime = 5 * time.Millisecond
	// minHoldTime is the least time for which memory counts as held. Otherwise a connection would never yield at the
	// moment at which it takes the most.
	minHoldTime = 100 * time.Millisecond
)

// Limits are the bounds on all connections of a Table together.
type Limits struct {
	// Connections is their number, Bytes the memory that is held for them.
	Connections int
	Bytes       int64
}

// Conn is a connection in a Table.
type Conn[O any] struct {
	owner O
	phase Phase
	// since is when the connection came into its phase.
	since   time.Duration
	bytes   int64
	element *list.Element
}

// Phase returns how far the connection has come.
func (c *Conn[O]) Phase() Phase { return c.phase }

// Table holds connections by phase. O is what a caller knows a connection by.
type Table[O any] struct {
	limits Limits
	// byPhase holds the connections of each phase, the longest in it first.
	byPhase [phases]list.List
	bytes   int64
	open    int
}

// New returns a Table without connections.
func New[O any](limits Limits) *Table[O] { return &Table[O]{limits: limits} }

// Open returns the number of connections, Bytes what is held for them.
func (t *Table[O]) Open() int { return t.open }

// Bytes returns the memory that is held for all connections.
func (t *Table[O]) Bytes() int64 { return t.bytes }

// Count returns the number of connections in a phase.
func (t *Table[O]) Count(p Phase) int { return t.byPhase[p].Len() }

// Admission is the answer to a new connection.
type Admission[O any] struct {
	// Conn is the connection; nil if it has to wait or to be closed.
	Conn *Conn[O]
	// Wait is the time after which it should be added again; zero for never.
	Wait time.Duration
	// Closed are the owners of the connections that were removed to make room, and have to be closed.
	Closed []O
}

// Add adds a new connection for which bytes are held.
func (t *Table[O]) Add(owner O, bytes int64, now time.Duration) (a Admission[O]) {
	for t.open >= t.limits.Connections || t.bytes+bytes > t.limits.Bytes {
		victim := t.least(now)
		if t.open < t.limits.Connections {
			victim = t.costliest(now)
		}
		if victim == nil {
			return a
		}
		if left := victim.since + minOpeningTime - now; victim.phase == Opening && left > 0 {
			a.Wait = left
			return a
		}
		a.Closed = append(a.Closed, victim.owner)
		t.Remove(victim)
	}
	a.Conn = &Conn[O]{owner: owner, bytes: bytes}
	t.open++
	t.bytes += bytes
	t.enter(a.Conn, Opening, now)
	return a
}

// Hold counts further bytes that are held for a connection. It returns false, and counts nothing, if there is no room
// and the connection itself would yield next. The owners in closed were removed and have to be closed.
func (t *Table[O]) Hold(c *Conn[O], bytes int64, now time.Duration) (closed []O, ok bool) {
	if c.element == nil {
		return nil, false
	}
	for t.bytes+bytes > t.limits.Bytes {
		victim := t.costliest(now)
		if victim == nil || victim == c {
			return closed, false
		}
		closed = append(closed, victim.owner)
		t.Remove(victim)
	}
	c.bytes += bytes
	t.bytes += bytes
	return closed, true
}

// Release counts bytes of a connection that are held no longer.
func (t *Table[O]) Release(c *Conn[O], bytes int64) {
	if c.element == nil {
		return
	}
	c.bytes -= bytes
	t.bytes -= bytes
}

// Move records that a connection has come into a phase. It returns false for one that was removed.
func (t *Table[O]) Move(c *Conn[O], p Phase, now time.Duration) bool {
	if c.element == nil {
		return false
	}
	t.byPhase[c.phase].Remove(c.element)
	t.enter(c, p, now)
	return true
}

// Remove removes a connection. It does nothing for one that was removed before.
func (t *Table[O]) Remove(c *Conn[O]) {
	if c.element == nil {
		return
	}
	t.byPhase[c.phase].Remove(c.element)
	c.element = nil
	t.open--
	t.bytes -= c.bytes
}

// MarkStalled moves the connections in flight to Stalled whose client is stalled, and returns their number.
func (t *Table[O]) MarkStalled(isStalled func(O) bool, now time.Duration) int {
	moved := 0
	inFlight := &t.byPhase[InFlight]
	for e := inFlight.Front(); e != nil; {
		c := e.Value.(*Conn[O])
		e = e.Next()
		if isStalled(c.owner) {
			t.Move(c, Stalled, now)
			moved++
		}
	}
	return moved
}

func (t *Table[O]) enter(c *Conn[O], p Phase, now time.Duration) {
	c.phase, c.since = p, now
	c.element = t.byPhase[p].PushBack(c)
}

// least returns the connection that yields next at the bound on connections, or nil if all have a request in flight.
func (t *Table[O]) least(now time.Duration) *Conn[O] {
	first := t.first(Opening)
	hasWaited := first != nil && now-first.since >= openingTime
	// Otherwise each new client would close an idle connection of another, as long as it is new.
	areMany := t.Count(Opening) > t.limits.Connections/2
	order := [...]Phase{Refused, Idle, Sending, Stalled, Opening}
	if hasWaited || areMany {
		order = [...]Phase{Refused, Opening, Idle, Sending, Stalled}
	}
	for _, p := range order {
		if c := t.first(p); c != nil {
			return c
		}
	}
	return nil
}

// costliest returns the connection that yields next at the bound on memory, or nil if all have a request in flight.
func (t *Table[O]) costliest(now time.Duration) *Conn[O] {
	var found *Conn[O]
	most := 0.0
	for p := Refused; p < InFlight; p++ {
		for e := t.byPhase[p].Front(); e != nil; e = e.Next() {
			c := e.Value.(*Conn[O])
			if cost := float64(c.bytes) * (now - c.since + minHoldTime).Seconds(); found == nil || cost > most {
				found, most = c, cost
			}
		}
	}
	return found
}

func (t *Table[O]) first(p Phase) *Conn[O] {
	if e := t.byPhase[p].Front(); e != nil {
		return e.Value.(*Conn[O])
	}
	return nil
}
