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
	// patience is how long callers of streams wait for an event before they leave.
	patience = 2 * time.Second
	// leftSlack is how long after its caller has left a request may still begin to run.
	leftSlack = 500 * time.Millisecond
)

// leaver reads streams as callers do that leave when no event comes for a while.
type leaver struct {
	client *http.Client

	mu     sync.Mutex
	served int
	// left is when the callers left, by the ids of their requests.
	left map[string]time.Time
	// longest is the longest wait for an event.
	longest time.Duration
}

// read reads a stream and returns what came of it.
func (l *leaver) read(address, id string) string {
	req, err := fakeplatform.NewRequest(address, "/draft/"+id, id)
	if err != nil {
		return err.Error()
	}
	began := time.Now()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	timer := time.AfterFunc(patience, leave)
	defer timer.Stop()
	resp, err := l.client.Do(req.WithContext(ctx))
	if err != nil {
		l.leave(id)
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text := ""
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			timer.Reset(patience)
		}
		l.waited(time.Since(began))
		began = time.Now()
		text += string(buf[:n])
		if err == io.EOF {
			l.mu.Lock()
			l.served++
			l.mu.Unlock()
			return text
		}
		if err != nil {
			l.leave(id)
			return text + err.Error()
		}
	}
}

func (l *leaver) leave(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[id] = time.Now()
}

func (l *leaver) waited(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longest = max(l.longest, d)
}

// A VM with an engine stands still for longer than callers wait, with streams that its engine
// has begun and requests that it has read. Callers must get their answers from other engines:
// one that leaves has its request run for nobody when the VM is back.
func TestNoRequestRunsForACallerThatLeftASilentEngine(t *testing.T) {
	t.Parallel()
	const callers, still = 16, 3 * time.Second
	m := startMapSite(t, 2, 1)
	routes := fakeplatform.Routes()
	for i := range routes {
		if routes[i].Name == "draft" {
			routes[i].Service = "drafts"
		}
	}
	m.store.ConfigureServices(3, []fakeplatform.Service{{Name: "app", HealthPath: "/healthz"}, m.group.EngineService("drafts")}, routes, fakeplatform.CallerKey)
	waitFor(t, "streams go to engines", func() bool {
		for _, g := range m.gateways {
			if state, err := g.state(); err != nil || state.Config != 3 {
				return false
			}
		}
		return true
	})
	l := &leaver{client: &http.Client{Transport: &http.Transport{}}, left: make(map[string]time.Time)}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			book := m.newBook()
			for n := 0; !isClosed(stop); n++ {
				id := fmt.Sprintf("s%d-%d", i, n)
				if got := l.read(book.pick(), id); got != fakeplatform.EngineStream("/draft/"+id) {
					t.Errorf("the caller of %s got %q", id, got)
				}
			}
		})
	}
	waitFor(t, "streams run", func() bool { return len(m.group.Runs()) > 2*callers })
	m.group.PauseVM(1)
	m.agents[1].Pause()
	time.Sleep(still)
	m.agents[1].Continue()
	m.group.ResumeVM(1)
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	for _, run := range m.group.Runs() {
		if left, has := l.left[run.Request]; has && run.StartedAt.After(left.Add(leftSlack)) {
			t.Errorf("request %s ran %v after its caller had left", run.Request, run.StartedAt.Sub(left))
		}
	}
	t.Logf("%d streams read whole, %d callers left, longest wait for an event %v", l.served, len(l.left), l.longest)
	if l.served < 50 {
		t.Error("too little happened: the test shows nothing")
	}
}
