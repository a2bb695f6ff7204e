package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/link"
)

// An entry is stopped by plan. First its peers hear of it, and callers are no longer sent
// to it; for as long as callers keep its address it serves them on, also over new
// connections; then it takes no more, and ends when the last answer is whole.
func TestGracefulShutdownOrder(t *testing.T) {
	held := make(chan struct{})
	var hold atomic.Bool
	agent := newFakeAgent(t, "b1", func(work *api.Work, stream *link.Stream) {
		if hold.CompareAndSwap(true, false) {
			<-held
		}
		wholeAnswer("the answer")(work, stream)
	})
	e, _ := startEntry(t, agent)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + ln.Addr().String()
	server := &http.Server{Handler: e.handler()}
	go func() { _ = server.Serve(ln) }()
	hold.Store(true)
	last := make(chan reply, 1)
	go func() { last <- sendRequest(t, url, completions) }()
	eventually(t, "a request under way", func() bool { return agent.works.Load() == 1 })

	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = e.drainOnStop(ctx, context.Background(), server)
	}()
	stopRequested := time.Now()
	stop()
	eventually(t, "peers are told", func() bool { return e.node.State().Draining })
	http.DefaultClient.CloseIdleConnections()
	if got := sendRequest(t, url, completions); got.body != "the answer" || !got.closes {
		t.Errorf("a caller that kept the address: %+v", got)
	}
	eventually(t, "the end of new connections", func() bool {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	if kept := time.Since(stopRequested); kept < 100*time.Millisecond {
		t.Errorf("the address was good for %v, less than callers were told", kept)
	}
	select {
	case <-stopped:
		t.Error("it stopped with a request under way")
	case <-time.After(50 * time.Millisecond):
	}
	close(held)
	if got := <-last; got.body != "the answer" {
		t.Errorf("the last request: %+v", got)
	}
	<-stopped
}
