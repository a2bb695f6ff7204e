package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	msec    = time.Millisecond
	service = "chat"
	bad     = "bad"
)

// world is a number of entries that tell each other what they know.
type world struct {
	t        *testing.T
	now      time.Duration
	entries  []*Tracker
	nextHash uint32
}

func newWorld(t *testing.T, entries int) *world {
	w := &world{t: t, now: time.Hour}
	var ips []string
	for i := range entries {
		ips = append(ips, fmt.Sprintf("10.0.0.%d", i))
		w.entries = append(w.entries, New(ips[i], Config{}))
	}
	for _, e := range w.entries {
		e.SetEntries(ips)
	}
	return w
}

// shared returns parts of prompts that other requests may share.
func shared(ids ...string) []Part {
	var parts []Part
	for _, id := range ids {
		parts = append(parts, Part{ID: id})
	}
	return parts
}

// pass lets time pass, with ticks and heartbeats.
func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 50 * msec
		for _, e := range w.entries {
			e.Tick(w.now)
		}
		for _, from := range w.entries {
			for _, to := range w.entries {
				if from != to {
					tell(from, to, w.now)
				}
			}
		}
	}
}

// tell passes on one heartbeat.
func tell(from, to *Tracker, now time.Duration) {
	for _, p := range from.Proofs(16, now) {
		to.HearSound(p.Part, p.Age, now)
	}
	for _, e := range from.Ends(4, now) {
		to.HearEnd(e, now)
	}
	for _, q := range from.Quarantines(8, now) {
		q.Source = Reported
		to.HearQuarantine(q, now)
	}
}

// sound has an entry pass on an answer with these parts in its prompt.
func (w *world) sound(entry int, parts ...string) {
	w.pass(50 * msec)
	w.entries[entry].RecordSound(service, shared(parts...), false, w.now)
}

// server returns a server that has not ended yet.
func (w *world) server() ServerStart {
	w.nextHash++
	return ServerStart{Hash: w.nextHash}
}

// end ends a server with a request of one entry.
func (w *world) end(entry int, parts ...string) {
	w.entries[entry].RecordEnd(w.server(), service, shared(parts...), len(parts) == 0, w.now)
}

// checkQuarantined checks that all entries refuse requests with just these parts.
func (w *world) checkQuarantined(want ...string) {
	w.t.Helper()
	for i, e := range w.entries {
		var got []string
		for part, q := range e.quarantines {
			if w.now < q.until {
				got = append(got, part)
			}
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			w.t.Errorf("entry %d refuses %q, want %q", i, got, want)
		}
	}
}

// mayTry reports whether an entry sends a request with some parts now. It leaves no trial behind.
func (w *world) mayTry(entry int, parts ...string) bool {
	p := &Permit{}
	d := w.entries[entry].Acquire(p, shared(parts...), w.now)
	w.entries[entry].Release(p)
	return d.Action == Send
}

// Each entry sees a single server end under the part: no entry alone has enough evidence.
func TestEachEntryHasSeenOneEnd(t *testing.T) {
	w := newWorld(t, 3)
	for i := range 3 {
		w.end(i, "first", fmt.Sprint("topic", i), bad)
		w.pass(200 * msec)
		w.sound(i, "first")
		w.pass(time.Second)
	}
	w.checkQuarantined(bad)
}

// Several requests were at each server that ended, also at several entries, and one of them is to blame.
func TestRequestsBesideTheBadOneAreSound(t *testing.T) {
	w := newWorld(t, 2)
	for i := range 3 {
		server := w.server()
		w.entries[0].RecordEnd(server, service, shared("first", "rare"), false, w.now)
		w.entries[0].RecordEnd(server, service, shared("first", fmt.Sprint("topic", i)), false, w.now)
		w.entries[1].RecordEnd(server, service, shared("first", bad), false, w.now)
		w.pass(time.Second)
		w.sound(0, "first")
	}
	w.pass(time.Second)
	w.checkQuarantined(bad, "rare")
	if w.entries[0].suspects["topic0"].ends != 0 {
		t.Error("a part that was at one server is under suspicion although the end is explained")
	}
}

// A rare part was at two servers that ended under another one: it must stay served.
func TestAnEndIsExplainedByOnePart(t *testing.T) {
	w := newWorld(t, 2)
	w.end(0, "rare", bad)
	w.end(1, "rare", bad)
	w.sound(0, "first")
	w.pass(500 * msec)
	w.checkQuarantined()
	w.end(0, bad)
	w.sound(1, "first")
	w.pass(time.Second)
	w.checkQuarantined(bad)
	if !w.mayTry(0, "rare") {
		t.Error("a part whose ends are explained is held back")
	}
}

// An entry has just started and hears of ends from before: as long as it has passed on no answer itself, it
// has no contrast, and may not blame a part that all requests share.
func TestAnEntryThatHasJustStartedBlamesNoSharedPart(t *testing.T) {
	e := New("10.0.0.1", Config{})
	now := 100 * msec
	for n := range 3 {
		e.HearEnd(End{Server: ServerStart{Hash: uint32(n)}, Service: service, Parts: shared("first", bad), Age: 2 * time.Second}, now)
	}
	if begun := e.Tick(now).Begun; len(begun) > 0 {
		t.Errorf("it refuses %+v", begun)
	}
}

// Two parts end servers in turn, and some requests have both.
func TestTwoBadParts(t *testing.T) {
	w := newWorld(t, 2)
	w.end(0, "first", bad)
	w.end(1, "first", "worse")
	w.sound(0, "first")
	w.pass(600 * msec)
	w.end(1, "first", bad, "worse")
	w.pass(50 * msec)
	w.sound(0, "first")
	w.end(0, "first", bad)
	w.end(0, "first", "worse")
	w.pass(600 * msec)
	w.checkQuarantined(bad, "worse")
}

// All servers lose power, again and again, while all requests share parts that no entry remembers as sound:
// none of them may be refused.
func TestServersThatEndForAnotherReasonSpeakAgainstNoSharedPart(t *testing.T) {
	w := newWorld(t, 3)
	for range 5 {
		for entry := range 3 {
			w.end(entry, "first", "route")
			w.end(entry, "first", "route")
		}
		w.pass(6 * time.Second)
		w.checkQuarantined()
		if !w.mayTry(0, "first") {
			t.Fatal("no request may try a part that all share")
		}
	}
	w.sound(0, "first", "route")
	w.pass(500 * msec)
	for entry := range 3 {
		if w.entries[entry].Any() {
			t.Errorf("entry %d holds parts back that have been proven sound", entry)
		}
	}
}

// Servers end with answers under way only, at the same time as others: the requests that those had not
// begun to answer are not to blame, although other answers begin.
func TestAnOutageOfManyServersSpeaksAgainstNoPart(t *testing.T) {
	w := newWorld(t, 2)
	for range 3 {
		w.end(0, "rare")
		w.end(1)
		w.pass(time.Second)
		w.sound(1, "first")
	}
	w.checkQuarantined()
	if !w.mayTry(0, "rare") {
		t.Error("the part is held back")
	}
}

// Entries know a part as sound, and new software of the servers ends under it.
func TestAPartThatWasSoundTurnsBad(t *testing.T) {
	w := newWorld(t, 2)
	w.sound(0, "first", bad)
	w.pass(50 * msec)
	for n := 1; n <= 4; n++ {
		w.checkQuarantined()
		w.end(n%2, "first", bad)
		w.pass(600 * msec)
		w.sound(0, "first")
		w.pass(600 * msec)
	}
	w.checkQuarantined(bad)
}

// quarantined returns a world in which all entries refuse the bad part.
func quarantined(t *testing.T, entries int) *world {
	w := newWorld(t, entries)
	w.end(0, bad)
	w.end(entries-1, bad)
	w.sound(0, "first")
	w.pass(time.Second)
	w.checkQuarantined(bad)
	return w
}
