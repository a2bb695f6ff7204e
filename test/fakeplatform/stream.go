package fakeplatform

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// engineEvents is the number of events in a whole stream of an engine; eventInterval is the
	// time between two events.
	engineEvents  = 20
	eventInterval = 20 * time.Millisecond
)

// Run is a request that an engine has started.
type Run struct {
	Request   string
	Rank      int
	StartedAt time.Time
}

// EngineEvent returns event n of an engine's stream for a path.
func EngineEvent(path string, n int) string {
	return fmt.Sprintf("id: %d\ndata: part %d for %s\n\n", n, n, path)
}

// EngineStream returns the whole stream of an engine for a path.
func EngineStream(path string) string {
	text := ""
	for n := range engineEvents {
		text += EngineEvent(path, n+1)
	}
	return text
}

// PauseVM pauses the VM of a rank until ResumeVM. Its engine still accepts connections and
// requests, as the kernel does for a paused process, but neither runs nor answers them.
func (g *Group) PauseVM(index int) { g.setPaused(index, true) }

// ResumeVM ends PauseVM. The engine starts the requests that arrived meanwhile, including those
// whose connections have closed since.
func (g *Group) ResumeVM(index int) { g.setPaused(index, false) }

func (g *Group) setPaused(index int, paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused[index] = paused
	g.resumed.Broadcast()
}

// waitResumed blocks while the VM of a rank is paused.
func (g *Group) waitResumed(index int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.paused[index] {
		g.resumed.Wait()
	}
}

// SetPace sets how many times longer than usual a rank takes for its work.
func (g *Group) SetPace(index int, pace float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paces[index] = pace
}

// passTime returns the time between two events of all streams: each rank waits for the slowest one
// that has streams.
func (g *Group) passTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	slowest := 1.0
	for index, n := range g.running {
		if n > 0 {
			slowest = max(slowest, g.paces[index])
		}
	}
	return time.Duration(slowest * float64(eventInterval))
}

// isRunning reports whether the group has run without a crash since an epoch began.
func (g *Group) isRunning(epoch int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch == epoch && !g.crashed
}

// Runs returns the requests that engines have started, in order.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs)
}

func (g *Group) serveStream(w http.ResponseWriter, r *http.Request, index int) {
	id := r.Header.Get("Attempt-Id")
	g.mu.Lock()
	epoch, crashed := g.epoch, g.crashed
	if crashed {
		g.mu.Unlock()
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.runs = append(g.runs, Run{Request: id, Rank: index, StartedAt: time.Now()})
	g.running[index]++
	onBegin := g.onBegin
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.running[index]--
		g.mu.Unlock()
	}()
	w.Header().Set("Attempt-Id", id)
	if onBegin != nil && !onBegin(index, r) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Upstream-Signature", "sig")
	w.Header().Set("Content-Type", "text/event-stream")
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	for n := after + 1; n <= engineEvents; n++ {
		time.Sleep(g.passTime())
		g.waitResumed(index)
		if r.Context().Err() != nil {
			return
		}
		if !g.isRunning(epoch) {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, EngineEvent(r.URL.Path, n)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
