package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricothub/apricothub/internal/clock"
)

// A kept connection to an engine stops working while new ones work. Callers would see a warm
// engine limited to the cold limit. The query must be answered over a new connection instead.
func TestSilentKeptConnection(t *testing.T) {
	var connections, silent atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent.CompareAndSwap(1, 2) {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write([]byte(`{"cold":false}`))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	b := newBackend(server.URL)
	for range 5 {
		if _, err := b.queryCold(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("%d connections for five queries", n)
	}
	silent.Store(1)
	if isCold, err := b.queryCold(context.Background()); err != nil || isCold {
		t.Errorf("cold %v, %v", isCold, err)
	}
}

// An idle engine turns cold between two slow polls, and work arrives. Polling must resume at once
// at the interval of a busy engine, and slow down again only after idleAfter.
func TestWorkWakesPolling(t *testing.T) {
	now := clock.Now()
	p := newPollPacer(now - idleAfter - 1)
	polled := make(chan struct{})
	go func() {
		p.waitNext(context.Background())
		close(polled)
	}()
	time.Sleep(10 * time.Millisecond)
	p.workStarted(now)
	select {
	case <-polled:
	case <-time.After(idlePollInterval / 2):
		t.Error("the poll was not triggered")
	}
	if p.isIdle(now + time.Hour) {
		t.Error("idle while work is running")
	}
	p.workEnded(now + time.Hour)
	if p.isIdle(now+time.Hour+idleAfter) || !p.isIdle(now+time.Hour+idleAfter+1) {
		t.Error("not idle exactly after idleAfter")
	}
}
