package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

const registration = `{"service":"app","address":"10.0.0.9:80","zone":"a","concurrency":4,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":1}`

// controlWorld is the control of one entry, in virtual time, with another entry whose heartbeats it
// receives.
type controlWorld struct {
	*control
	other        *api.PeerBeat
	beatSequence uint64
}

func newControlWorld(t *testing.T) *controlWorld {
	g := newGateway(settingsFor(fakeplatform.NewStore(t)), log.NewNopLogger())
	if err := g.listenHeartbeats(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		close(g.stopped)
		_ = g.socket.Close()
	})
	w := &controlWorld{
		control: newControl(g, log.NewNopLogger(), 0),
		other:   &api.PeerBeat{Vm: "other", Ip: fakeplatform.NewLoopbackIP(), FailureDomain: "a", Incarnation: 1, Serving: true},
	}
	w.reportServers(t, 1, registration, 0)
	if n := len(w.registry.Registrations()); n != 1 {
		t.Fatalf("%d servers at the start", n)
	}
	return w
}

// reportServers applies the registrations as the other entry sends them: one registration, or none
// if value is empty.
func (w *controlWorld) reportServers(t *testing.T, next int64, value string, now time.Duration) {
	t.Helper()
	topic := &api.KeyedTopic{Known: true, Next: next}
	if value != "" {
		topic.Records = []*api.KeyedRecord{{Key: "i-9", Value: []byte(value), Offset: next - 1}}
	}
	w.applyTopic(platform.TopicServers, w.control.servers, topic, now)
	w.reconcile(now)
}

// heartbeat applies a heartbeat of the other entry with the given age of its own reads of the
// store.
func (w *controlWorld) heartbeat(age, now time.Duration) {
	w.beatSequence++
	b := &api.PeerBeat{
		Vm: w.other.Vm, Ip: w.other.Ip, FailureDomain: w.other.FailureDomain, Incarnation: 1, Sequence: w.beatSequence,
		Serving: true, OperatorsAgeMs: age.Milliseconds(), ServersAgeMs: age.Milliseconds(),
	}
	w.peers.HandleHeartbeat(b, now)
	w.reconcile(now)
}

// readServers applies the result of this entry's own read of the registrations.
func (w *controlWorld) readServers(err error, now time.Duration) {
	w.applyUpdate(topicUpdate{topic: platform.TopicServers, err: err, at: now})
	w.reconcile(now)
}

// Guards against requests to a server two seconds and more after it has left. One read of this
// entry fails while others go on reading and send it all records. If the entry then took the store
// for unreachable, it would never notice the store's return, and would keep the registration for
// the time that servers have to register again after an outage.
func TestAReadThatFailsWhileOthersReadKeepsNoServer(t *testing.T) {
	t.Parallel()
	w := newControlWorld(t)
	now := 10 * time.Second
	w.heartbeat(200*msec, now)
	w.readServers(errors.New("the connection has gone silent"), now+100*msec)
	for range 20 {
		now += 200 * msec
		w.heartbeat(300*msec, now)
	}
	w.reportServers(t, 3, "", now)
	if n := len(w.registry.Registrations()); n != 0 {
		t.Error("the server that has left is still registered")
	}
}

// The store is unreachable for all entries, and the registrations of living servers expire
// meanwhile. They must be kept until the servers have had time to register again, whoever reads the
// store first.
func TestAnOutageForAllKeepsServers(t *testing.T) {
	t.Parallel()
	for name, back := range map[string]func(w *controlWorld, now time.Duration){
		"this entry reads it first": func(w *controlWorld, now time.Duration) { w.readServers(nil, now) },
		"the other reads it first":  func(w *controlWorld, now time.Duration) { w.heartbeat(0, now) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newControlWorld(t)
			now := 10 * time.Second
			for age := time.Duration(0); age < 8*time.Second; age += 200 * msec {
				now += 200 * msec
				w.heartbeat(age, now)
				w.readServers(errors.New("down"), now)
			}
			now += 200 * msec
			back(w, now)
			w.reportServers(t, 3, "", now+10*msec)
			w.reconcile(now + 1900*msec)
			if n := len(w.registry.Registrations()); n != 1 {
				t.Fatal("the server had no time to register again")
			}
			w.reconcile(now + 2100*msec)
			if n := len(w.registry.Registrations()); n != 0 {
				t.Error("the server did not register again and gets work")
			}
		})
	}
}

// During an outage of the store every entry reads for itself. With hundreds of entries, their calls
// would hit the store all at once on its return, so they are limited. The reader of each failure
// domain must not be slowed down, so that the return is noticed; neither must a few entries.
func TestProbesOfAnOutageAreBounded(t *testing.T) {
	for _, entries := range []int{1, 7, 12} {
		if interval := storeRetryInterval(false, entries); interval > maxRetryInterval {
			t.Errorf("%d entries: an interval of %v", entries, interval)
		}
	}
	for _, entries := range []int{45, 490} {
		if rate := float64(entries) / storeRetryInterval(false, entries).Seconds(); rate > storeRetriesPerSecond+1 {
			t.Errorf("%d entries: %.0f calls a second", entries, rate)
		}
		if interval := storeRetryInterval(true, entries); interval > maxRetryInterval {
			t.Errorf("%d entries: the reader of a failure domain waits for %v", entries, interval)
		}
	}
}
