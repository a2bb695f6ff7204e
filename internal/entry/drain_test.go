package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
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
	server, ln, url := serveCallers(t, e)
	hold.Store(true)
	last := make(chan reply, 1)
	go func() { last <- sendRequest(t, url, completions) }()
	eventually(t, "a request in flight", func() bool { return agent.workCount.Load() == 1 })

	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = e.drainOnStop(ctx, context.Background(), server, ln)
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

// serveCallers serves callers of an entry as Run does.
func serveCallers(t *testing.T, e *entry) (server *http.Server, ln net.Listener, url string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = &http.Server{Handler: e.handler()}
	e.shutdown.Follow(server)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, ln, "http://" + ln.Addr().String()
}

// Guards against requests that are cut at the end of a planned stop, and against canceling work whose caller may come
// back for the answer through another entry.
func TestRequestsThatOutlastAPlannedStopAreAnswered(t *testing.T) {
	var canceled atomic.Bool
	agent := newFakeAgent(t, "b1", func(_ *api.Work, stream *link.Stream) {
		send(stream, accepted())
		signal := &api.WorkSignal{}
		for stream.Receive(signal) == nil {
			canceled.Store(canceled.Load() || signal.GetCancel())
		}
	})
	e, _ := startEntry(t, agent)
	server, ln, url := serveCallers(t, e)
	last := make(chan reply, 2)
	for range 2 {
		go func() { last <- sendRequest(t, url, completions) }()
	}
	eventually(t, "requests in flight", func() bool { return agent.workCount.Load() == 2 })
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_ = e.drainOnStop(ctx, context.Background(), server, ln)
	for range 2 {
		if got := <-last; got.cut || got.status != http.StatusBadGateway || got.ran != "unknown" {
			t.Errorf("a request in flight: %+v", got)
		}
	}
	if canceled.Load() {
		t.Error("work was canceled")
	}
}

// Guards against requests on open connections that are sent to a backend server late in a planned stop although they
// cannot end in it, or that are closed without an answer.
func TestLateRequestsThatCannotEndAreRefused(t *testing.T) {
	const workTime = 400 * time.Millisecond
	var hold atomic.Bool
	hold.Store(true)
	agent := newFakeAgent(t, "b1", func(work *api.Work, stream *link.Stream) {
		if hold.CompareAndSwap(true, false) {
			_ = stream.Receive(&api.WorkSignal{})
			return
		}
		time.Sleep(workTime)
		wholeAnswer("the answer")(work, stream)
	})
	e, _ := startEntry(t, agent)
	server, ln, url := serveCallers(t, e)
	for range 10 {
		e.shutdown.Record(modelOffer("m"), workTime)
	}
	var callers sync.WaitGroup
	callers.Go(func() { sendRequest(t, url, completions) })
	eventually(t, "a request in flight", func() bool { return agent.workCount.Load() == 1 })
	var served, refused atomic.Int32
	for after := 50 * time.Millisecond; after < time.Second; after += 50 * time.Millisecond {
		client := connect(t, ln.Addr().String())
		callers.Go(func() {
			time.Sleep(after)
			switch got := sendOver(t, client, url, completions); {
			case got.status == http.StatusOK:
				served.Add(1)
			case got.status == http.StatusServiceUnavailable && got.ran == "no":
				refused.Add(1)
			default:
				t.Errorf("%s after the signal: %+v", after, got)
			}
		})
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_ = e.drainOnStop(ctx, context.Background(), server, ln)
	callers.Wait()
	if served.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d requests were served and %d refused", served.Load(), refused.Load())
	}
}

// connect opens a connection and returns a client that uses it.
func connect(t *testing.T, address string) *http.Client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}}
}
