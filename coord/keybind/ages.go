package keybind

import "time"

// marksPerLifetime is how finely ages are kept: a binding may live a thirty-second of
// the lifetime longer than it must.
const marksPerLifetime = 32

// ReleaseStep is by how much longer than a lifetime a binding may be held, while records
// come.
func ReleaseStep(lifetime time.Duration) time.Duration { return lifetime / marksPerLifetime }

// Ages tells how long records have stood in the stream at least, from when this process
// saw them on its own monotonic clock. Wall clocks play no part: one that is a day fast
// would release every binding at once, and each key would run again.
type Ages struct {
	lifetime time.Duration
	marks    []mark
	expired  int64
}

// mark says that all records up to an offset stood in the stream at a time.
type mark struct {
	through int64
	opened  time.Duration
	seen    time.Duration
}

// NewAges returns the ages for a lifetime of bindings.
func NewAges(lifetime time.Duration) *Ages {
	return &Ages{lifetime: lifetime, expired: -1}
}

// Saw says that the records up to an offset stood in the stream at a time.
func (a *Ages) Saw(now time.Duration, through int64) {
	n := len(a.marks)
	if n > 0 && through <= a.marks[n-1].through {
		return
	}
	if n > 0 && now-a.marks[n-1].opened < ReleaseStep(a.lifetime) {
		// The older records of the mark are made younger than they are, never older.
		a.marks[n-1].through, a.marks[n-1].seen = through, now
		return
	}
	a.marks = append(a.marks, mark{through: through, opened: now, seen: now})
}

// Released returns the newest offset whose records have been seen for a lifetime; -1
// for none.
func (a *Ages) Released(now time.Duration) int64 {
	n := 0
	for n < len(a.marks) && now-a.marks[n].seen >= a.lifetime {
		a.expired = a.marks[n].through
		n++
	}
	a.marks = a.marks[n:]
	return a.expired
}
