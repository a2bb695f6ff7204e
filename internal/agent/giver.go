package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/coord/expertmap"
)

const (
	// giverTimeout bounds one request to the engine; it waits for the connections of
	// earlier givers to close, which the engine gives 5 s.
	giverTimeout = 8 * time.Second
	// giverRetry is the wait before the engine is tried again.
	giverRetry = 100 * time.Millisecond
)

// errNewConnection says that the connection to the engine has ended.
var errNewConnection = errors.New("the connection to the engine has ended")

// orderRefused says that the engine has seen a newer fence.
var errOrderRefused = errors.New("the engine refused the order")

// giver gives orders to one engine over one connection at a time.
//
// An order on its way may arrive after the connection that carried it was given up.
// The engine tells its state only once it has seen the connections of all other
// givers close, so each connection counts as a giver of its own: what is read back
// over a new one is not overtaken by an order on an older.
type giver struct {
	base        string
	incarnation string
	transport   *http.Transport
	connection  uint64
	mayDial     atomic.Bool
	open        atomic.Bool
}

func newGiver(base, incarnation string) *giver {
	g := &giver{base: strings.TrimSuffix(base, "/"), incarnation: incarnation}
	g.transport = &http.Transport{
		DialContext:         g.dial,
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
		Proxy:               nil,
	}
	return g
}

// dial opens the one connection of a turn. Transport would open another by itself
// when the first has closed, and send an order over it that nobody read back before.
func (g *giver) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !g.mayDial.CompareAndSwap(true, false) {
		return nil, errNewConnection
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	g.open.Store(true)
	return &trackedConn{Conn: conn, open: &g.open}, nil
}

// trackedConn tells when it is closed.
type trackedConn struct {
	net.Conn
	open *atomic.Bool
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.open.Store(false)
	return c.Conn.Close()
}

// connect begins a new connection by reading the engine's state over it.
func (g *giver) connect(ctx context.Context) (*engineMap, error) {
	g.disconnect()
	g.connection++
	g.mayDial.Store(true)
	return g.read(ctx)
}

func (g *giver) disconnect() {
	g.mayDial.Store(false)
	g.transport.CloseIdleConnections()
	g.open.Store(false)
}

// connected says that the connection still stands as far as this side knows.
func (g *giver) connected() bool { return g.open.Load() }

// engineMap is what an engine says of its ranks.
type engineMap struct {
	Loaded []uint64    `json:"loaded"`
	Given  []stepRange `json:"given"`
	Step   uint64      `json:"step"`
	Fence  uint64      `json:"fence"`
}

type stepRange struct {
	Start      uint64 `json:"start"`
	End        uint64 `json:"end"`
	MapVersion uint64 `json:"map_version"`
}

func (m *engineMap) state() expertmap.EngineState {
	state := expertmap.EngineState{Step: m.Step, Fence: m.Fence, Loaded: m.Loaded}
	for _, r := range m.Given {
		state.Given = append(state.Given, expertmap.Range{Start: r.Start, End: r.End, Map: r.MapVersion})
	}
	return state
}

func (g *giver) read(ctx context.Context) (*engineMap, error) {
	answer := &engineMap{}
	err := g.call(ctx, http.MethodGet, "/engine/map", nil, answer)
	return answer, err
}

// give sends one order. It returns errOrderRefused when the engine refused it, which
// leaves the connection as it is.
func (g *giver) give(ctx context.Context, order expertmap.Order) error {
	body := struct {
		Fence  uint64      `json:"fence"`
		Ranges []stepRange `json:"ranges"`
	}{Fence: order.Fence}
	for _, r := range order.Ranges {
		body.Ranges = append(body.Ranges, stepRange{Start: r.Start, End: r.End, MapVersion: r.Map})
	}
	return g.call(ctx, http.MethodPost, "/engine/map/give", body, nil)
}

func (g *giver) call(ctx context.Context, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, giverTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = struct{ io.Reader }{bytes.NewReader(text)}
	}
	req, err := http.NewRequestWithContext(ctx, method, g.base+path, reader)
	if err != nil {
		return err
	}
	req.Header.Set("X-Giver", fmt.Sprintf("%s-%d", g.incarnation, g.connection))
	resp, err := g.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 4<<20))
	switch {
	case err != nil:
		return err
	case resp.StatusCode == http.StatusConflict:
		return errOrderRefused
	case resp.StatusCode != http.StatusOK:
		return errors.Errorf("status %d from %s", resp.StatusCode, path)
	case answer == nil:
		return nil
	}
	return json.Unmarshal(text, answer)
}
