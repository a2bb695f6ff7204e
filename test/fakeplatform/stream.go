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
	// engineEvents is the number of events of a whole stream of an engine, eventEach the time
	// between two.
	engineEvents  = 20
	eventInterval = 20 * time.Millisecond
)

// Run is one request that an engine began to work on.
type Run struct {
	Request   string
	Rank      int
	StartedAt time.Time
}

// EngineEvent is one event of an engine's stream for a path.
func EngineEvent(path string, n int) string {
	return fmt.Sprintf("id: %d\ndata: part %d for %s\n\n", n, n, path)
}

// EngineStream is the whole stream of an engine for a path.
func EngineStream(path string) string {
	text := ""
	for n := range engineEvents {
		text += EngineEvent(path, n+1)
	}
	return text
}

// PauseVM has the VM of a rank stand still until Wake: its engine takes connections and requests
// in, as its kernel does, and neither works nor answers.
func (g *Group) PauseVM(index int) { g.setPaused(index, true) }

// ResumeVM ends Sleep. The engine begins the requests that it had taken in, also those whose
// connections have ended meanwhile.
func (g *Group) ResumeVM(index int) { g.setPaused(index, false) }

func (g *Group) setPaused(index int, paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused[index] = paused
	g.resumed.Broadcast()
}

// waitResumed waits until the VM of a rank does not stand still.
func (g *Group) waitResumed(index int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.paused[index] {
		g.resumed.Wait()
	}
}

// isRunning says that the group works on since an epoch.
func (g *Group) isRunning(epoch int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch == epoch && !g.crashed
}

// Runs are the requests that engines began to work on.
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
	g.mu.Unlock()
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Upstream-Signature", "sig")
	w.Header().Set("Content-Type", "text/event-stream")
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	for n := after + 1; n <= engineEvents; n++ {
		time.Sleep(eventInterval)
		g.waitResumed(index)
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
