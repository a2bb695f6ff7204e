// Package drain decides which requests a process still begins during a planned stop.
//
// The pattern is a stop under load: requests go on arriving over open connections and wait for slots, and their limits
// reach beyond the end of the grace period. A request that is begun and does not end in time has an unknown outcome for
// its caller; one that is refused runs at another process. So a request is begun if its own limit lies before the end,
// or if requests of its kind have usually taken less time than is left.
//
// Time is an argument, counted since the process started. A Tracker is not safe for concurrent use.
package drain

import "time"

const (
	// meanWeight and deviationWeight are the weights of a new time in the moving averages of a kind.
	meanWeight, deviationWeight = 1.0 / 8, 1.0 / 4
	// maxKinds limits the kinds of requests that are known.
	maxKinds = 4096
	// deviations is how many mean deviations beyond the mean a request may take that still counts as usual.
	deviations = 4
)

// Tracker holds the end of the stop, and how long requests take. The estimate is that of TCP for its retransmission
// timeout (RFC 6298): it follows slow changes, and is far above the mean where times differ.
type Tracker struct {
	// end is when all requests must have ended; zero before a stop.
	end   time.Duration
	kinds map[string]estimate
}

// estimate holds moving averages of the time of requests and of its deviation from the mean.
type estimate struct{ mean, deviation time.Duration }

// New returns a Tracker of a process that does not stop.
func New() *Tracker { return &Tracker{kinds: make(map[string]estimate)} }

// Record records that a request of a kind was served, and how long that took.
func (t *Tracker) Record(kind string, took time.Duration) {
	e, ok := t.kinds[kind]
	if !ok {
		if len(t.kinds) == maxKinds {
			clear(t.kinds)
		}
		t.kinds[kind] = estimate{mean: took, deviation: took / 2}
		return
	}
	e.deviation += time.Duration(deviationWeight * float64((took-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanWeight * float64(took-e.mean))
	t.kinds[kind] = e
}

// Begin begins the stop. All requests must have ended at end.
func (t *Tracker) Begin(end time.Duration) { t.end = end }

// MayStart reports whether a request of a kind may start work now, given its own limit; zero for none. Before a stop, all
// may. A kind of which no request was served yet may until the end, since nothing shows that it takes long.
func (t *Tracker) MayStart(kind string, limit, now time.Duration) bool {
	if t.end == 0 || limit > 0 && limit <= t.end {
		return true
	}
	e := t.kinds[kind]
	return now+e.mean+deviations*e.deviation < t.end
}
