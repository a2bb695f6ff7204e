package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// testTimeout is how long a test waits for a condition, far longer than it usually takes.
const testTimeout = 20 * time.Second

// entry is a running gateway.
type entry struct {
	*Gateway
	t      *testing.T
	cancel context.CancelFunc
	done   chan error
}

func settingsFor(store *fakeplatform.Store, seeds ...string) *platform.Settings {
	ip := fakeplatform.NewLoopbackIP()
	address := func(port string) string { return net.JoinHostPort(ip, port) }
	return &platform.Settings{
		VM: "vm-" + ip, IP: ip, FailureDomain: "a", PeerPort: fakeplatform.PortPeers, Seeds: seeds,
		Listen: platform.Listen{Callers: address(fakeplatform.PortCallers), Readiness: address(fakeplatform.PortReadiness), Directory: address(fakeplatform.PortDirectory), Admin: address(fakeplatform.PortAdmin)},
		Store:  platform.StoreSettings{Address: store.Address()},
		Bounds: platform.Bounds{TerminationGrace: 2 * time.Second, RetryRatio: 0.2, RetryReserve: 90, ColdMaxRatio: 1.5, ColdSlack: 5, AddressTTL: 5 * time.Second},
	}
}

// start runs a gateway and waits until it is ready.
func start(t *testing.T, settings *platform.Settings) *entry {
	t.Helper()
	e := launch(t, newGateway(settings, log.NewNopLogger()))
	e.untilReady()
	return e
}

// launch runs a gateway until the test ends.
func launch(t *testing.T, g *Gateway) *entry {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{Gateway: g, t: t, cancel: cancel, done: make(chan error, 1)}
	go func() { e.done <- e.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-e.done:
		case <-time.After(testTimeout):
			t.Error("the entry did not stop")
		}
	})
	return e
}

func (e *entry) untilReady() {
	e.t.Helper()
	e.until("the entry is ready", func() bool {
		select {
		case err := <-e.done:
			e.t.Fatalf("the entry ended with %v", err)
		default:
		}
		v := e.view.Load()
		return v != nil && v.ready
	})
}

func (e *entry) until(what string, condition func() bool) {
	e.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	e.t.Fatalf("not within %v: %s", testTimeout, what)
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// String shows what a caller got, with the error's text.
func (r reply) String() string {
	return fmt.Sprintf("status %d, header %v, body %q, error %v", r.status, r.header, r.body, r.err)
}

func (e *entry) ask(method, path, id string, change ...func(*http.Request)) reply {
	return e.askWith(http.DefaultClient, method, path, id, change...)
}

func (e *entry) askWith(client *http.Client, method, path, id string, change ...func(*http.Request)) reply {
	req, err := http.NewRequest(method, "http://"+e.settings.Listen.Callers+path, strings.NewReader("body of "+id))
	if err != nil {
		e.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Api-Key", "key-1")
	req.Header.Set("Deadline-Ms", "6000")
	for _, c := range change {
		c(req)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}
