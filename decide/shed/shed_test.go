package shed

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const kB = 1 << 10

// world is a Table with a clock and the names of what it closed.
type world struct {
	*Table[string]
	t      *testing.T
	now    time.Duration
	closed []string
}

func newWorld(t *testing.T, connections int, bytes int64) *world {
	return &world{Table: New[string](Limits{Connections: connections, Bytes: bytes}), t: t}
}

func (w *world) after(d time.Duration) *world {
	w.now += d
	return w
}

// add adds a connection that has to be admitted, and moves it into a phase.
func (w *world) add(name string, p Phase, bytes int64) *Conn[string] {
	w.t.Helper()
	a := w.Add(name, bytes, w.now)
	w.closed = append(w.closed, a.Closed...)
	if a.Conn == nil {
		w.t.Fatalf("%s was not admitted", name)
	}
	if p != Opening {
		w.Move(a.Conn, p, w.now)
	}
	return a.Conn
}

func (w *world) wantClosed(names ...string) {
	w.t.Helper()
	if !slices.Equal(w.closed, names) {
		w.t.Errorf("closed %v, want %v", w.closed, names)
	}
}

// Guards against closing a connection that has come further than another one.
func TestWhoYieldsAtTheBoundOnConnections(t *testing.T) {
	for _, c := range []struct {
		name string
		// phases are those of the connections, the oldest first; age is how long they last until the next one comes.
		phases []Phase
		age    time.Duration
		want   []string
	}{
		{"a refused one first", []Phase{Opening, Idle, Refused}, 2 * time.Second, []string{"2"}},
		{"without a header for long", []Phase{Idle, Opening, Sending}, 2 * time.Second, []string{"1"}},
		{"a new one stays before an idle one", []Phase{Idle, Idle, Opening}, 100 * time.Millisecond, []string{"0"}},
		{"many new ones push out each other", []Phase{Idle, Opening, Opening}, 100 * time.Millisecond, []string{"1"}},
		{"idle for longest", []Phase{InFlight, Idle, Idle}, 2 * time.Second, []string{"1"}},
		{"a body that is not there", []Phase{InFlight, Stalled, Sending}, 2 * time.Second, []string{"2"}},
		{"an answer that is not taken", []Phase{InFlight, Stalled, InFlight}, 2 * time.Second, []string{"1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, len(c.phases), 1<<30)
			for i, p := range c.phases {
				w.add(string(rune('0'+i)), p, kB)
			}
			w.after(c.age).add("new", Opening, kB)
			w.wantClosed(c.want...)
		})
	}
}

// Guards against closing requests that are being served.
func TestRequestsInFlightAreNotClosed(t *testing.T) {
	w := newWorld(t, 3, 1<<30)
	for range 3 {
		w.add("served", InFlight, kB)
	}
	if a := w.after(time.Hour).Add("new", kB, w.now); a.Conn != nil || a.Wait != 0 || len(a.Closed) > 0 {
		t.Errorf("got %+v", a)
	}
}

// Guards against a crowd that connects anew at once and closes the connections of others before their headers are read.
func TestNewConnectionsHaveTimeForTheirHeader(t *testing.T) {
	w := newWorld(t, 2, 1<<30)
	w.add("first", Opening, kB)
	w.after(minOpeningTime/2).add("second", Opening, kB)
	a := w.Add("crowd", kB, w.now)
	if a.Conn != nil || a.Wait != minOpeningTime/2 {
		t.Fatalf("got %+v", a)
	}
	w.after(a.Wait).add("crowd", Opening, kB)
	w.wantClosed("first")
}

// Guards against a burst of new connections that closes all idle ones.
func TestABurstLeavesIdleConnections(t *testing.T) {
	const connections = 100
	w := newWorld(t, connections, 1<<30)
	for range connections {
		w.add("idle", Idle, kB)
	}
	for range 10 * connections {
		w.after(minOpeningTime).add("crowd", Opening, kB)
	}
	if n := w.Count(Idle); n < connections/2-1 {
		t.Errorf("%d idle connections are left", n)
	}
}

// Guards against small requests that make room for one that holds much.
func TestWhoYieldsAtTheBoundOnMemory(t *testing.T) {
	w := newWorld(t, 100, 100*kB)
	w.add("small", Idle, kB)
	w.add("stopped", Sending, 60*kB)
	served := w.add("served", InFlight, 30*kB)
	c := w.after(time.Second).add("new", Opening, kB)
	if closed, ok := w.Hold(c, 20*kB, w.now); !ok || !slices.Equal(closed, []string{"stopped"}) {
		t.Errorf("closed %v, %v", closed, ok)
	}
	if closed, ok := w.after(time.Second).Hold(c, 200*kB, w.now); ok {
		t.Errorf("more than everything is held, closed %v", closed)
	}
	if w.Hold(served, 0, w.now); w.Count(InFlight) != 1 {
		t.Error("a request in flight was closed")
	}
}

// Guards against a count that grows or shrinks by what was removed before.
func TestRemovedConnectionsCountNoMore(t *testing.T) {
	w := newWorld(t, 1, 10*kB)
	c := w.add("first", Idle, kB)
	w.after(time.Second).add("second", Opening, kB)
	w.Remove(c)
	w.Release(c, kB)
	w.Move(c, InFlight, w.now)
	if _, ok := w.Hold(c, kB, w.now); ok || w.Open() != 1 || w.Bytes() != kB || w.Count(InFlight) != 0 {
		t.Errorf("%d connections hold %d bytes", w.Open(), w.Bytes())
	}
}

// Guards against bounds that some order of events passes: bursts, skewed sizes and saturation at random.
func TestBoundsHoldInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limits := Limits{Connections: 1 + rng.IntN(50), Bytes: int64(50+rng.IntN(1000)) * kB}
		table := New[*bool](limits)
		var open []*Conn[*bool]
		now := time.Duration(0)
		closeAll := func(owners []*bool) {
			for _, o := range owners {
				*o = true
			}
		}
		for range 5000 {
			now += time.Duration(rng.ExpFloat64() * float64(10*time.Millisecond))
			open = slices.DeleteFunc(open, func(c *Conn[*bool]) bool {
				if *c.owner && c.phase == InFlight {
					t.Fatal("a request in flight was closed")
				}
				return *c.owner
			})
			if len(open) == 0 || rng.IntN(3) == 0 {
				a := table.Add(new(bool), 24*kB, now)
				closeAll(a.Closed)
				if a.Conn != nil {
					open = append(open, a.Conn)
				}
			} else {
				c := open[rng.IntN(len(open))]
				switch rng.IntN(4) {
				case 0:
					table.Move(c, Phase(rng.IntN(int(phases))), now)
				case 1, 2:
					closed, _ := table.Hold(c, int64(rng.ExpFloat64()*20*kB), now)
					closeAll(closed)
				case 3:
					table.Remove(c)
					*c.owner = c.phase != InFlight
					open = slices.DeleteFunc(open, func(o *Conn[*bool]) bool { return o == c })
				}
			}
			if table.Open() > limits.Connections || table.Bytes() > limits.Bytes || table.Bytes() < 0 {
				t.Fatalf("seed %d: %d connections hold %d bytes, %+v", seed, table.Open(), table.Bytes(), limits)
			}
		}
	}
}
