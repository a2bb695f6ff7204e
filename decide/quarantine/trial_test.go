package quarantine

import (
	"testing"
	"time"
)

// A request is to be sent again after the server that had it has ended, and others with the part come: one
// at a time may try it, and none before other answers have begun.
func TestASuspectIsTriedWithOneRequestAtATime(t *testing.T) {
	w := newWorld(t, 1)
	e := w.entries[0]
	w.end(0, bad)
	w.sound(0, "first")
	again, other := &Permit{}, &Permit{}
	if d := e.Acquire(again, shared(bad), w.now+100*msec); d.Action != Wait {
		t.Errorf("the request is sent again at once: %+v", d)
	}
	w.pass(2 * time.Second)
	if d := e.Acquire(again, shared("first", bad), w.now); d.Action != Send {
		t.Errorf("the part is not tried: %+v", d)
	}
	if d := e.Acquire(other, shared(bad), w.now); d.Action != Wait {
		t.Errorf("a second request tries the part: %+v", d)
	}
	if d := e.Acquire(again, shared("first", bad), w.now); d.Action != Send {
		t.Errorf("the trial may not be sent: %+v", d)
	}
	e.Release(again)
	if d := e.Acquire(other, shared(bad), w.now); d.Action != Send {
		t.Errorf("a lost trial is not repeated: %+v", d)
	}
	w.sound(0, bad)
	if d := e.Acquire(&Permit{}, shared(bad), w.now); d.Action != Send {
		t.Errorf("a part that was proven sound is held back: %+v", d)
	}
}

// No answer begins between two ends: the part must wait longer, as other requests would show that servers
// do not end under each of them.
func TestATrialWaitsForOtherAnswers(t *testing.T) {
	w := newWorld(t, 1)
	w.end(0, bad)
	w.pass(2 * time.Second)
	if w.mayTry(0, bad) {
		t.Error("the part is tried although no other answer has begun")
	}
	w.pass(4 * time.Second)
	if !w.mayTry(0, bad) {
		t.Error("the part is never tried although no other request may come")
	}
}

// All entries have forgotten which parts are sound, and no answer begins between the ends: of the requests
// that share a part with the bad one, the sound ones must be tried first, or the shared part is blamed too.
func TestRequestsWithFewerSuspectsAreTriedFirst(t *testing.T) {
	w := newWorld(t, 1)
	w.end(0, "first", bad)
	w.pass(5 * time.Second)
	if w.mayTry(0, "first", bad) {
		t.Error("the bad request is tried with the sound ones")
	}
	if !w.mayTry(0, "first") {
		t.Error("the sound request is not tried")
	}
	w.pass(time.Second)
	if !w.mayTry(0, "first", bad) {
		t.Error("the two parts are never tried together")
	}
}

// The quarantine is over: one entry may try the part, and if a server ends, all refuse it for longer.
func TestAQuarantineEndsWithOneTrial(t *testing.T) {
	w := quarantined(t, 8)
	for strikes := 1; strikes <= 3; strikes++ {
		w.pass(time.Minute << (strikes - 1))
		var allowed []int
		for i := range w.entries {
			if w.mayTry(i, bad) {
				allowed = append(allowed, i)
			}
		}
		if len(allowed) != 1 {
			t.Fatalf("%d entries may try the part, want one", len(allowed))
		}
		w.end(allowed[0], bad)
		w.pass(200 * msec)
		w.checkQuarantined(bad)
	}
	w.pass(8*time.Minute + 20*time.Second)
	for i := range w.entries {
		if !w.mayTry(i, bad) {
			t.Errorf("entry %d may not try the part although no other one has", i)
		}
	}
	w.sound(5, bad)
	w.pass(200 * msec)
	for i, e := range w.entries {
		if e.Any() {
			t.Errorf("entry %d still restricts a part that was proven sound", i)
		}
	}
}

// Guards against a service that stands still for seconds after its group is open again, since no answer can come
// before the first trial.
func TestTrialsBeginOnceTheGroupIsOpen(t *testing.T) {
	w := newWorld(t, 1)
	w.end(0, "first", bad)
	w.pass(time.Second)
	w.entries[0].RecordOpen(service, w.now)
	w.pass(500 * msec)
	if w.mayTry(0, "first") {
		t.Error("the part is tried as the group opens")
	}
	w.pass(1050 * msec)
	if !w.mayTry(0, "first") || w.mayTry(0, "first", bad) {
		t.Error("a part is not tried after the group has opened, or two parts are")
	}
}

// Guards against a sound request being tried together with a bad one that has as many parts under suspicion.
func TestRequestsWithAsManySuspectsAreTriedOneAfterTheOther(t *testing.T) {
	w := newWorld(t, 1)
	w.end(0, "first", "subject", bad)
	w.pass(5400 * msec)
	for range 12 {
		w.pass(50 * msec)
		sound, isBad := w.mayTry(0, "first", "subject"), w.mayTry(0, "first", bad)
		if sound != isBad {
			return
		}
	}
	t.Error("both are tried at the same time")
}
