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

// An entry shuts down gracefully. First its peers must learn of it and callers must not be sent to
// it any more. While callers may keep its address it must serve them, also over new connections.
// Then it must accept no connections, and end when the last answer is complete.
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
	eventually(t, "a request in flight", func() bool { return agent.workCount.Load() == 1 })

	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = e.drainOnStop(ctx, context.Background(), server)
	}()
	stopRequested := time.Now()
	stop()
	eventually(t, "the draining state", func() bool { return e.node.State().Draining })
	http.DefaultClient.CloseIdleConnections()
	if got := sendRequest(t, url, completions); got.body != "the answer" || !got.closes {
		t.Errorf("a caller that kept the address: %+v", got)
	}
	eventually(t, "new connections refused", func() bool {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	if kept := time.Since(stopRequested); kept < 100*time.Millisecond {
		t.Errorf("the address was usable for %v, less than callers were told", kept)
	}
	select {
	case <-stopped:
		t.Error("the entry stopped with a request in flight")
	case <-time.After(50 * time.Millisecond):
	}
	close(held)
	if got := <-last; got.body != "the answer" {
		t.Errorf("the last request: %+v", got)
	}
	<-stopped
}
