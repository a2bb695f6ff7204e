// Package quarantine answers the query of death: a part of a request that ends each backend server which
// answers a request with it. It finds the part and keeps requests with it from the servers.
//
// Each end of a server is evidence against the parts of the requests that were there: shared parts of those
// that it had not begun to answer, midway ones of those that it had, and narrow parts, which hardly any other
// request has, of all. A shared part is proven sound by an answer that gets past its beginning, the others by a
// whole answer.
//
// A part is quarantined once several servers have ended under it, none has proven it sound, and the same service
// has given answers meanwhile that would have: when servers end for another reason, the parts that all requests
// share have no such contrast. If the evidence fits several parts, the narrowest is quarantined, which keeps the
// fewest requests from being served. The wider ones follow if servers go on ending without it.
//
// Before that, a part under suspicion is tried with one request at a time at each entry; with parts other than
// shared ones, entries take turns. A quarantine ends by itself; one request of one entry is then the trial.
//
// Entries report ends, proofs and quarantines to each other, since each of them may see only one end.
// All state is bounded. Time is an argument, counted since the process started; times in reports are ages.
// A Tracker is not safe for concurrent use.
package quarantine

import "time"

// Config holds the limits of a Tracker. A zero field takes its default.
type Config struct {
	// MinEnds is the number of servers that must have ended under a part, and MinTiedEnds the number if
	// another part of the same scope was present each time. Defaults 2 and 3.
	MinEnds, MinTiedEnds int
	// ProvenEnds is the number of further ends that it takes if the part was proven sound within ProvenFor
	// before the first end: such a part can turn bad only with the servers' software. Defaults 2 and 5 min.
	ProvenEnds int
	ProvenFor  time.Duration
	// SettleTime is the age from which an end counts, so that all entries have reported the requests that
	// they had at the server, and what they know of the parts. Default 400 ms: two heartbeats.
	SettleTime time.Duration
	// EvidenceTime is how long an end counts. Default 10 min.
	EvidenceTime time.Duration
	// OutageWindow is the time between two ends within which a server that ended with nothing but answers
	// under way shows that servers end for another reason. Default 500 ms.
	OutageWindow time.Duration
	// TrialDelay is the time after an end until a part under suspicion may be tried, once other answers
	// have begun, or after the group of the servers is open again; MaxTrialDelay is that time in any case. A request with several such parts waits for
	// another TrialDelay for each further one: those with fewer parts prove them sound, or single out the
	// bad one. Defaults 1 s and 5 s: the latter is longer than a group of engines takes to form again.
	TrialDelay, MaxTrialDelay time.Duration
	// RetryDelay and PeerTrialDelay are for midway and narrow parts: the time after the first end until the entry
	// that had the request may send it again, and until the others may try the part. Defaults 200 ms, in which
	// the entries hear of each other's ends, and 500 ms, in which the first entry has tried.
	RetryDelay, PeerTrialDelay time.Duration
	// TrialStep is the time after which twice as many entries may try such a part, one at first: longer than the
	// news of an end takes. Default 150 ms.
	TrialStep time.Duration
	// BaseTime is the length of the first quarantine of a part, MaxTime that of the longest. Each is twice
	// as long as the one before. Defaults 1 min and 1 h: a trial that fails may cost a group of engines
	// some seconds.
	BaseTime, MaxTime time.Duration
	// TrialSpacing is the time after which a further entry may try a part whose quarantine is over.
	// Default 2 s.
	TrialSpacing time.Duration
	// ReportTime is how long news is told to other entries. Default 3 s: many heartbeats.
	ReportTime time.Duration
	// MaxProofs limits the shared parts that are remembered as sound, and the others; MaxEnds limits the
	// ends and MaxQuarantines the quarantines. Defaults 8192, 32 and 64.
	MaxProofs, MaxEnds, MaxQuarantines int
}

func (c Config) withDefaults() Config {
	setTime := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	setCount := func(n *int, value int) {
		if *n == 0 {
			*n = value
		}
	}
	setCount(&c.MinEnds, 2)
	setCount(&c.MinTiedEnds, 3)
	setCount(&c.ProvenEnds, 2)
	setTime(&c.ProvenFor, 5*time.Minute)
	setTime(&c.SettleTime, 400*time.Millisecond)
	setTime(&c.EvidenceTime, 10*time.Minute)
	setTime(&c.OutageWindow, 500*time.Millisecond)
	setTime(&c.TrialDelay, time.Second)
	setTime(&c.MaxTrialDelay, 5*time.Second)
	setTime(&c.RetryDelay, 200*time.Millisecond)
	setTime(&c.PeerTrialDelay, 500*time.Millisecond)
	setTime(&c.TrialStep, 150*time.Millisecond)
	setTime(&c.BaseTime, time.Minute)
	setTime(&c.MaxTime, time.Hour)
	setTime(&c.TrialSpacing, 2*time.Second)
	setTime(&c.ReportTime, 3*time.Second)
	setCount(&c.MaxProofs, 8192)
	setCount(&c.MaxEnds, 32)
	setCount(&c.MaxQuarantines, 64)
	return c
}

// Tracker holds what one entry knows of the parts of requests.
type Tracker struct {
	cfg  Config
	self string
	// entries are the IPs of the entries that may be running, this one included.
	entries []string

	// proofs are the shared parts that are known as sound, wholeProofs those that take a whole answer. These have
	// a log of their own, since each request brings new ones.
	proofs, wholeProofs proofLog
	// begunAt and wholeAt are when an answer of each service last got past its beginning here, and was whole.
	begunAt, wholeAt map[string]time.Duration
	// openedAt is when the group of a service's servers was last open again after it had been broken.
	openedAt map[string]time.Duration
	// firstWholeAt is when the first answer of each service was whole here.
	firstWholeAt map[string]time.Duration
	// ends are the ends of servers, the oldest first.
	ends []*end
	// suspects are the parts under suspicion, with the latest end that counts against each.
	suspects map[string]suspicion
	// quarantines are the parts in quarantine, or on trial after it.
	quarantines map[string]*quarantine
	// trials are the parts that a request of this entry tries now.
	trials map[string]bool
	// proofNewsUntil is until when the proof of a part is told to other entries.
	proofNewsUntil map[string]time.Duration
	// isChanged means that the evidence has changed since it was last weighed. settlesAt is when the latest
	// end counts.
	isChanged bool
	settlesAt time.Duration
	changes   Changes
	// reports counts the reports to other entries.
	reports uint64
}

// New returns the tracker of the entry with IP self.
func New(self string, cfg Config) *Tracker {
	return &Tracker{
		cfg: cfg.withDefaults(), self: self, entries: []string{self},
		begunAt:        make(map[string]time.Duration),
		wholeAt:        make(map[string]time.Duration),
		firstWholeAt:   make(map[string]time.Duration),
		openedAt:       make(map[string]time.Duration),
		suspects:       make(map[string]suspicion),
		quarantines:    make(map[string]*quarantine),
		trials:         make(map[string]bool),
		proofNewsUntil: make(map[string]time.Duration),
	}
}

// SetEntries sets the IPs of the entries that may be running, this one included.
func (t *Tracker) SetEntries(ips []string) { t.entries = ips }

// Changes are the quarantines that have begun and ended since the last tick.
type Changes struct {
	// Begun are new or longer quarantines.
	Begun []Quarantine
	// Ended are the parts that have been proven sound here.
	Ended []string
}

// Quarantine is the quarantine of a part.
type Quarantine struct {
	Part string
	// Age is the time since it began, Left the time until it ends; negative if it is over and the part
	// waits for a trial.
	Age, Left time.Duration
	// Strikes is how often the part has been quarantined.
	Strikes int
	// Ends is the number of servers that ended under the part as this entry knows.
	Ends int
	// Source is who found it.
	Source Source
}

// Source is who found a quarantine.
type Source uint8

const (
	// Found: this entry found it by the evidence.
	Found Source = iota
	// Reported: another entry has reported it.
	Reported
	// Stored: it was stored when this entry started.
	Stored
)

// String returns the source as logs show it.
func (s Source) String() string { return [...]string{"found", "reported", "stored"}[s] }

// Tick weighs the evidence, and returns what has changed since the last tick.
func (t *Tracker) Tick(now time.Duration) Changes {
	t.forget(now)
	if t.isChanged || t.settlesAt > 0 && now >= t.settlesAt {
		t.weigh(now)
	}
	changes := t.changes
	t.changes = Changes{}
	return changes
}

// forget drops what has become too old.
func (t *Tracker) forget(now time.Duration) {
	for len(t.ends) > 0 && now-t.ends[0].at > t.cfg.EvidenceTime {
		t.ends = t.ends[1:]
		t.isChanged = true
	}
	for part, q := range t.quarantines {
		if now-q.until > t.cfg.MaxTime {
			delete(t.quarantines, part)
		}
	}
	for part, until := range t.proofNewsUntil {
		if now > until {
			delete(t.proofNewsUntil, part)
		}
	}
}
