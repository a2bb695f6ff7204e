package rest

import (
	"testing"
	"time"
)

const (
	server = "i-1"
	msec   = time.Millisecond
	asked  = 3 * time.Second
)

// Callers keep sending to a server that refuses everything and asks for rest: it must get one request after
// each rest, and all of them as soon as it serves one.
func TestAServerUnderSaturationIsTriedOnceAfterEachRest(t *testing.T) {
	r := New()
	sent := 0
	for now := time.Duration(0); now < 30*time.Second; now += 10 * msec {
		if r.Wait(server, now) > 0 {
			continue
		}
		sent++
		r.RecordSent(server, now)
		r.RecordAnswer(server, asked, now, now+5*msec)
		r.RecordEnd(server)
	}
	if sent != 10 {
		t.Errorf("%d requests in ten rests", sent)
	}
	now := 31 * time.Second
	r.RecordSent(server, now)
	if r.Wait(server, now+10*msec) == 0 {
		t.Error("a second request may be sent before the trial is answered")
	}
	r.RecordAnswer(server, 0, now, now+20*msec)
	if r.Wait(server, now+30*msec) > 0 {
		t.Error("the server gets nothing although it has served a request")
	}
}

// A request was under way when the server asked for rest, and is served: the rest must not end with it.
func TestAnAnswerToAnEarlierRequestDoesNotEndTheRest(t *testing.T) {
	r := New()
	r.RecordAnswer(server, asked, 0, 100*msec)
	r.RecordAnswer(server, 0, 50*msec, 200*msec)
	r.RecordEnd(server)
	if wait := r.Wait(server, 200*msec); wait != asked-100*msec {
		t.Errorf("the rest lasts for another %v", wait)
	}
}

// Several requests are refused in turn, the last with a shorter rest: the longer one was asked for too.
func TestAShorterRestDoesNotReplaceALongerOne(t *testing.T) {
	r := New()
	r.RecordAnswer(server, asked, 0, 0)
	if r.RecordAnswer(server, time.Second, 0, 10*msec) {
		t.Error("the server begins to rest again")
	}
	if wait := r.Wait(server, 10*msec); wait != asked-10*msec {
		t.Errorf("the rest lasts for another %v", wait)
	}
}

// The trial is lost: its caller has gone, or its connection failed. The server must be tried again.
func TestALostTrialIsRepeated(t *testing.T) {
	r := New()
	r.RecordAnswer(server, asked, 0, 0)
	r.RecordSent(server, asked)
	if r.Wait(server, asked+maxTrialTime) > 0 {
		t.Error("a trial without an answer keeps requests away for good")
	}
	r.RecordSent(server, asked+2*maxTrialTime)
	r.RecordEnd(server)
	if r.Wait(server, asked+2*maxTrialTime) > 0 {
		t.Error("a trial that has ended keeps requests away")
	}
}

// Servers come and go all day: what is known of those that are gone must not pile up.
func TestServersThatAreGoneAreForgotten(t *testing.T) {
	r := New()
	r.RecordAnswer(server, asked, 0, 0)
	gone := func(string) bool { return false }
	if r.Retain(gone, time.Second); r.Wait(server, time.Second) == 0 {
		t.Error("a server whose registration lapsed gets no rest")
	}
	if r.Retain(gone, asked); len(r.servers) != 0 {
		t.Errorf("%d servers are known", len(r.servers))
	}
}
