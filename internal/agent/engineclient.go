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
	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/response"
)

const (
	// engineCallTimeout limits one request to the engine. The engine first waits up to 5 s for the
	// connections of earlier clients to close.
	engineCallTimeout = 8 * time.Second
	// engineRetryInterval is the wait before a new connection to the engine or a new load of a
	// map.
	engineRetryInterval = 100 * time.Millisecond
)

// errConnectionEnded says that the connection to the engine has ended.
var errConnectionEnded = errors.New("the connection to the engine has ended")

// errOrderRefused says that the engine has seen a newer fence.
var errOrderRefused = errors.New("the engine refused the order because it has seen a newer fence")

// engineClient sends orders to one engine over one connection at a time.
//
// An order in transit may arrive after the connection that carried it was closed. The engine
// reports its state only after the connections of all other clients have closed, and each
// connection counts as a client of its own, named by the header X-Giver. A state that is read over
// a new connection can therefore not be changed later by an order sent over an older one.
type engineClient struct {
	base             string
	incarnation      string
	transport        *http.Transport
	connectionNumber uint64
	canDial          atomic.Bool
	isOpen           atomic.Bool
}

func newEngineClient(base, incarnation string) *engineClient {
	c := &engineClient{base: strings.TrimSuffix(base, "/"), incarnation: incarnation}
	c.transport = response.Transport(&http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
		Proxy:               nil,
	})
	return c
}

// dial opens at most one connection per call of connect. Otherwise Transport would open another
// one by itself when the first has closed, and send an order over it before the state was read.
func (c *engineClient) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !c.canDial.CompareAndSwap(true, false) {
		return nil, errConnectionEnded
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.isOpen.Store(true)
	return &trackedConn{TCPConn: conn.(*net.TCPConn), isOpen: &c.isOpen}, nil
}

// trackedConn records that it was closed.
type trackedConn struct {
	*net.TCPConn
	isOpen *atomic.Bool
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.isOpen.Store(false)
	return c.TCPConn.Close()
}

// connect opens a new connection and reads the engine's state over it.
func (c *engineClient) connect(ctx context.Context) (*engineMap, error) {
	c.disconnect()
	c.connectionNumber++
	c.canDial.Store(true)
	return c.readState(ctx)
}

func (c *engineClient) disconnect() {
	c.canDial.Store(false)
	c.transport.CloseIdleConnections()
	c.isOpen.Store(false)
}

// isConnected reports whether the connection is open, as far as this side knows.
func (c *engineClient) isConnected() bool { return c.isOpen.Load() }

// engineMap is an engine's report on the expert maps of its ranks.
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

func (m *engineMap) engineState() expertmap.EngineState {
	state := expertmap.EngineState{Step: m.Step, Fence: m.Fence, Loaded: m.Loaded}
	for _, r := range m.Given {
		state.Given = append(state.Given, expertmap.Range{Start: r.Start, End: r.End, Map: r.MapVersion})
	}
	return state
}

func (c *engineClient) readState(ctx context.Context) (*engineMap, error) {
	answer := &engineMap{}
	err := c.call(ctx, http.MethodGet, "/engine/map", nil, answer)
	return answer, err
}

// sendOrder sends one order. It returns errOrderRefused when the engine refused it; the connection
// then stays open.
func (c *engineClient) sendOrder(ctx context.Context, order expertmap.Order) error {
	body := struct {
		Fence  uint64      `json:"fence"`
		Ranges []stepRange `json:"ranges"`
	}{Fence: order.Fence}
	for _, r := range order.Ranges {
		body.Ranges = append(body.Ranges, stepRange{Start: r.Start, End: r.End, MapVersion: r.Map})
	}
	return c.call(ctx, http.MethodPost, "/engine/map/give", body, nil)
}

func (c *engineClient) call(ctx context.Context, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = struct{ io.Reader }{bytes.NewReader(text)}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return err
	}
	req.Header.Set("X-Giver", fmt.Sprintf("%s-%d", c.incarnation, c.connectionNumber))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := bounded.ReadAll(resp.Body, maxControlAnswerBytes, "the answer of the engine")
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
