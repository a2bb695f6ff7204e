package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

const (
	// eventTimeout is how long callers of streams wait for an event before they leave.
	eventTimeout = 2 * time.Second
	// cancelGrace is how long after its caller has left a request may still begin to run.
	cancelGrace = 500 * time.Millisecond
)

// timeoutReader reads streams for callers that leave when no event comes for a while.
type timeoutReader struct {
	client *http.Client

	mu     sync.Mutex
	served int
	// leftAt is when callers left, by request id.
	leftAt map[string]time.Time
	// longestWait is the longest wait for an event.
	longestWait time.Duration
	// waits counts the waits for an event since countFrom, longWaits those longer than longWait. None is
	// counted while longWait is zero.
	countFrom        time.Time
	longWait         time.Duration
	waits, longWaits int
}

// read reads a stream and returns its text, followed by the error if there was one.
func (l *timeoutReader) read(address, id string) string {
	req, err := fakeplatform.NewRequest(address, "/draft/"+id, id)
	if err != nil {
		return err.Error()
	}
	began := time.Now()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	timer := time.AfterFunc(eventTimeout, leave)
	defer timer.Stop()
	resp, err := l.client.Do(req.WithContext(ctx))
	if err != nil {
		l.recordLeft(id)
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text := ""
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			timer.Reset(eventTimeout)
		}
		l.recordWait(time.Since(began))
		began = time.Now()
		text += string(buf[:n])
		if err == io.EOF {
			l.mu.Lock()
			l.served++
			l.mu.Unlock()
			return text
		}
		if err != nil {
			l.recordLeft(id)
			return text + err.Error()
		}
	}
}

func (l *timeoutReader) recordLeft(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leftAt[id] = time.Now()
}

func (l *timeoutReader) recordWait(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longestWait = max(l.longestWait, d)
	if l.longWait == 0 || time.Now().Before(l.countFrom) {
		return
	}
	l.waits++
	if d > l.longWait {
		l.longWaits++
	}
}

// countWaits counts waits for an event from now on.
func (l *timeoutReader) countWaits(longWait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countFrom, l.longWait, l.waits, l.longWaits = time.Now(), longWait, 0, 0
}

// startStreams routes streams to the group and starts callers that read them until stop is called.
// maxPause is the longest pause that the route accepts; zero for none.
func (m *groupSite) startStreams(maxPause time.Duration) (reader *timeoutReader, stop func()) {
	m.t.Helper()
	const callers = 16
	routes := fakeplatform.Routes()
	for i := range routes {
		if routes[i].Name == "draft" {
			routes[i].Service, routes[i].MaxPauseMs = "drafts", float64(maxPause.Milliseconds())
		}
	}
	m.store.ConfigureServices(3, []fakeplatform.Service{{Name: "app", HealthPath: "/healthz"}, m.group.EngineService("drafts")}, routes, fakeplatform.CallerKey)
	waitFor(m.t, "streams go to engines", func() bool {
		for _, g := range m.gateways {
			if state, err := g.state(); err != nil || state.Config != 3 {
				return false
			}
		}
		return true
	})
	reader = &timeoutReader{client: &http.Client{Transport: &http.Transport{}}, leftAt: make(map[string]time.Time)}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			addresses := m.newAddressCache()
			for n := 0; !isClosed(done); n++ {
				id := fmt.Sprintf("s%d-%d", i, n)
				if got := reader.read(addresses.pick(), id); got != fakeplatform.EngineStream("/draft/"+id) {
					m.t.Errorf("the caller of %s got %q", id, got)
				}
			}
		})
	}
	waitFor(m.t, "streams run", func() bool { return len(m.group.Runs()) > 2*callers })
	return reader, func() {
		close(done)
		wg.Wait()
	}
}

// A VM with an engine stops responding for longer than callers wait, with streams that its engine
// has begun and requests that it has read. Callers must get their answers from other engines.
// Without that, a caller leaves and the engine runs its request for nobody once the VM is back.
func TestNoRequestRunsForACallerThatLeftASilentEngine(t *testing.T) {
	t.Parallel()
	const pause = 3 * time.Second
	m := startGroupSite(t, 2, 1)
	reader, stop := m.startStreams(0)
	m.group.PauseVM(1)
	m.agents[1].Pause()
	time.Sleep(pause)
	m.agents[1].Continue()
	m.group.ResumeVM(1)
	time.Sleep(time.Second)
	stop()
	for _, run := range m.group.Runs() {
		if leftAt, has := reader.leftAt[run.Request]; has && run.StartedAt.After(leftAt.Add(cancelGrace)) {
			t.Errorf("request %s ran %v after its caller had left", run.Request, run.StartedAt.Sub(leftAt))
		}
	}
	t.Logf("%d streams read whole, %d callers left, longest wait for an event %v", reader.served, len(reader.leftAt), reader.longestWait)
	if reader.served < 50 {
		t.Error("too few events: the test proves nothing")
	}
}
