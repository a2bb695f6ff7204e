package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// An entry restarts and has forgotten everything: it must refuse the part as soon as it hears the others.
func TestARestartedEntryHearsOfQuarantines(t *testing.T) {
	w := quarantined(t, 3)
	w.pass(10 * time.Second)
	restarted := New("10.0.0.1", Config{})
	w.entries[1] = restarted
	w.pass(50 * msec)
	w.checkQuarantined(bad)
	if left := restarted.quarantines[bad].until - w.now; left > 50*time.Second {
		t.Errorf("the quarantine begins anew with %v", left)
	}
}

// At 490 entries each byte of a heartbeat counts: an old quarantine must take hardly any, and an entry that
// restarts must still hear of it in the first heartbeats.
func TestOldQuarantinesTakeFewBytes(t *testing.T) {
	const entries = 490
	w := newWorld(t, 1)
	w.end(0, bad)
	w.end(0, bad)
	w.sound(0, "first")
	w.pass(10 * time.Second)
	var ips []string
	for i := range entries {
		ips = append(ips, fmt.Sprint("10.1.0.", i))
	}
	told := 0
	for _, ip := range ips {
		e := New(ip, Config{})
		e.SetEntries(ips)
		e.HearQuarantine(Quarantine{Part: bad, Age: 10 * time.Second, Left: time.Minute, Strikes: 1}, w.now)
		told += len(e.Quarantines(8, w.now))
	}
	if told < 1 || told > 3*tellersPerReport {
		t.Errorf("%d of %d entries tell of the quarantine in one heartbeat", told, entries)
	}
}

// Entries restart one after the other between two ends: none of them has seen both, and those that have seen
// the first are gone.
func TestEvidenceOutlivesRestartsInTurn(t *testing.T) {
	w := newWorld(t, 3)
	w.end(0, "first", bad)
	w.sound(0, "first")
	for i := range w.entries {
		w.pass(5 * time.Second)
		restarted := New(w.entries[i].self, Config{})
		restarted.SetEntries(w.entries[i].entries)
		w.entries[i] = restarted
	}
	w.pass(time.Second)
	w.sound(0, "first")
	w.end(2, "first", bad)
	w.pass(time.Second)
	w.sound(0, "first")
	w.pass(time.Second)
	w.checkQuarantined(bad)
}

// An entry was cut off while the others quarantined a part that it has proven sound since.
func TestALaterProofEndsAQuarantineThatIsHeard(t *testing.T) {
	w := quarantined(t, 2)
	w.pass(time.Second)
	late := New("10.0.0.9", Config{})
	late.RecordSound(service, shared(bad), false, w.now)
	w.entries = append(w.entries, late)
	w.pass(200 * msec)
	w.checkQuarantined()
}

// A caller sends ever new parts, and servers end all the time: what is remembered must not grow.
func TestStateIsBounded(t *testing.T) {
	e := New("10.0.0.1", Config{})
	now := time.Hour
	for n := range 50_000 {
		now += 10 * msec
		part := fmt.Sprint("p", n)
		e.RecordSound(service, shared(part), false, now)
		if n%10 == 0 {
			e.RecordEnd(ServerStart{Hash: uint32(n)}, service, shared(part+"x", part+"y"), false, now)
			e.HearQuarantine(Quarantine{Part: part + "z", Left: time.Minute, Strikes: 1}, now)
		}
		if n%100 == 0 {
			e.Tick(now)
		}
	}
	cfg := e.cfg
	if n := len(e.proofs.newer) + len(e.proofs.older); n > cfg.MaxProofs {
		t.Errorf("%d proofs", n)
	}
	if len(e.ends) > cfg.MaxEnds || len(e.quarantines) > cfg.MaxQuarantines || len(e.suspects) > cfg.MaxEnds*maxParts {
		t.Errorf("%d ends, %d quarantines, %d suspects", len(e.ends), len(e.quarantines), len(e.suspects))
	}
	if len(e.proofNewsUntil) > cfg.MaxEnds*maxParts+cfg.MaxQuarantines {
		t.Errorf("%d proofs to tell of", len(e.proofNewsUntil))
	}
}
