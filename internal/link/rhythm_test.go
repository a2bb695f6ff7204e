package link

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
)

const ms = time.Millisecond

// linkEnds simulates both ends of a link without work, at the default settings and with a delay of
// 2 ms.
type linkEnds struct {
	a, b      *heartbeatState
	now       time.Duration
	lost      bool // messages from b to a are lost
	notBefore time.Duration
	sent      int
}

func newLinkEnds() *linkEnds {
	cfg := Config{HeartbeatInterval: 200 * ms, IdleInterval: 600 * ms, SuspectAfter: 600 * ms, DeadAfter: 1500 * ms}
	return &linkEnds{a: newHeartbeatState(cfg, 0), b: newHeartbeatState(cfg, 0)}
}

// run advances the time. a ticks at multiples of 200 ms, b 70 ms later.
func (e *linkEnds) run(until time.Duration) {
	for ; e.now < until; e.now += ms {
		e.sendIfDue(e.a, e.b, e.now%(200*ms) == 0, false)
		e.sendIfDue(e.b, e.a, e.now%(200*ms) == 70*ms, e.lost)
	}
}

func (e *linkEnds) sendIfDue(from, to *heartbeatState, tick, lost bool) {
	if !from.takeDue(e.now, tick) {
		return
	}
	heartbeat := &api.Heartbeat{}
	from.complete(heartbeat, e.now)
	e.sent++
	if lost {
		return
	}
	to.messageReceived(e.now + 2*ms)
	if notBefore, _ := to.heartbeatReceived(heartbeat, e.now+2*ms); to == e.a {
		e.notBefore = notBefore
	}
}

// A link without work sends heartbeats three times less often. The age of what the peer reported
// must still be known as precisely, or processes would fence themselves, and neither side may
// suspect the other.
func TestIdleLinkKeepsReportsFresh(t *testing.T) {
	e := newLinkEnds()
	e.run(3 * time.Second)
	e.sent = 0
	for until := e.now + 6*time.Second; e.now < until; {
		e.run(e.now + 10*ms)
		if age := e.now - e.notBefore; age > 630*ms {
			t.Fatalf("the knowledge of the peer is %v old", age)
		}
		if e.a.silence(e.now) > 600*ms || e.b.silence(e.now) > 600*ms {
			t.Fatal("a healthy link is suspect")
		}
	}
	if e.sent < 18 || e.sent > 22 {
		t.Errorf("%d heartbeats in 6 s", e.sent)
	}
}

// The agent behind an idle link becomes unresponsive, and work is sent just before the link would
// be suspect. The caller must not wait longer than over a link that had work: the link must be
// suspect after 600 ms and dead after 1,500 ms. A link that is already suspect must stay so.
func TestWorkOnADeadIdleLink(t *testing.T) {
	e := newLinkEnds()
	e.run(3 * time.Second)
	e.lost = true
	for e.a.silence(e.now) <= 580*ms {
		e.run(e.now + 10*ms)
	}
	workBegan := e.now
	if !e.a.beginWork(workBegan) {
		t.Error("no heartbeat is due immediately")
	}
	for after, maxSilence := range map[time.Duration]time.Duration{590 * ms: 600 * ms, 1490 * ms: 1500 * ms} {
		if e.a.silence(workBegan+after) > maxSilence || e.a.silence(workBegan+after+20*ms) <= maxSilence {
			t.Errorf("silent for %v after %v", e.a.silence(workBegan+after), after)
		}
	}
	e = newLinkEnds()
	e.run(3 * time.Second)
	e.now += 10 * time.Second // The process is paused.
	if e.a.beginWork(e.now); e.a.silence(e.now) <= 600*ms {
		t.Error("a silent link is trusted after a pause")
	}
}

// Work that must not be repeated is about to be sent over an idle link. If the link works, the
// probe must be answered immediately, long before the next heartbeat. If the link is silent in one
// direction, the work must not be sent.
func TestProbeIdleLink(t *testing.T) {
	for name, broken := range map[string]int{"works": -1, "from the dialer": 0, "to the dialer": 1} {
		near, far := newRecordingHandler(), newRecordingHandler()
		s, f := pairWith(t, near, far, Config{HeartbeatInterval: 10 * ms, IdleInterval: 8 * time.Second, SuspectAfter: time.Second, DeadAfter: 20 * time.Second})
		time.Sleep(activeAfterWork + 200*ms) // Idle.
		if broken >= 0 {
			f.dropping[broken].Store(true)
		}
		// The link was not confirmed within the limit, and data in transit when it broke has
		// arrived.
		for s.heartbeatState.sinceConfirmed(clock.Now()) < 1200*ms {
			time.Sleep(10 * ms)
		}
		start := clock.Now()
		confirmed := s.Probe(context.Background())
		if took := clock.Now() - start; confirmed != (broken < 0) || confirmed && took > time.Second {
			t.Errorf("%s: confirmed %v after %v", name, confirmed, took)
		}
		s.Close(io.EOF)
	}
}

// During a rolling update, one side is a process that knows only the short interval and would
// mistake the idle one for silence. It must get heartbeats at the short interval.
func TestIdleLinkToAProcessWithoutIdleInterval(t *testing.T) {
	e := newLinkEnds()
	e.b.cfg.IdleInterval = 0 // As in a process that does not announce one.
	e.b.peerIdleInterval = 0
	for until := 5 * time.Second; e.now < until; {
		e.run(e.now + 10*ms)
		e.b.peerIdleInterval = 0
		if e.now > 500*ms && (e.a.silence(e.now) > 300*ms || e.b.silence(e.now) > 300*ms) {
			t.Fatalf("silent for %v and %v after %v", e.a.silence(e.now), e.b.silence(e.now), e.now)
		}
	}
}
