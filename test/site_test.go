package test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/harness"
)

// siteWait is how long a site may take for what must happen.
const siteWait = 20 * time.Second

// site is the users' platform with gateways as processes of their own.
type site struct {
	t        *testing.T
	dir      string
	store    *fakeplatform.Store
	servers  []*fakeplatform.Server
	gateways []*gatewayProcess
}

// gatewayProcess is one entry.
type gatewayProcess struct {
	*harness.Process
	vm, ip string
	// door is its own way to the store.
	door *fakeplatform.Endpoint
}

// siteSpec says what a site is like.
type siteSpec struct {
	gateways int
	// answer is that of the backend servers.
	answer fakeplatform.Handler
	// links are put before each backend server and each gateway's door, and return the address
	// to use in place of theirs; nil for none.
	serverLink, doorLink func(address string) string
}

// startSite starts a site with so many gateways, and a backend server in each of three
// failure domains that answers as given. It waits until all gateways know all servers.
func startSite(t *testing.T, gateways int, answer fakeplatform.Handler) *site {
	t.Helper()
	return startSiteAs(t, siteSpec{gateways: gateways, answer: answer})
}

// startSiteAs is startSite for a site with links that can be broken.
func startSiteAs(t *testing.T, spec siteSpec) *site {
	t.Helper()
	s := &site{t: t, dir: harness.NewDir(t, strings.ReplaceAll(t.Name(), "/", "-")), store: fakeplatform.NewStore(t)}
	s.store.Configure(1, fakeplatform.Routes(), fakeplatform.CallerKey)
	for _, domain := range domains {
		place := fakeplatform.Registration{ID: "i-" + domain, FailureDomain: domain, Concurrency: 16, MapAddress: spec.serverLink}
		s.servers = append(s.servers, s.store.ServeAt(t, place, spec.answer))
	}
	var seeds []string
	for i := range spec.gateways {
		g := &gatewayProcess{vm: fmt.Sprintf("front-%d", i+1), ip: fakeplatform.NewLoopbackIP(), door: s.store.NewEndpoint(t)}
		store := g.door.Address
		if spec.doorLink != nil {
			store = spec.doorLink(store)
		}
		entry := fakeplatform.Entry{VM: g.vm, IP: g.ip, FailureDomain: domains[i%len(domains)], Store: store, Seeds: seeds}
		g.Process = harness.StartWithEnv(t, []string{entry.WriteSettings(t, s.dir)}, s.dir, g.vm, bin+"/apricothub", "gateway")
		s.gateways = append(s.gateways, g)
		seeds = append(seeds, g.ip)
	}
	s.awaitWhole()
	t.Cleanup(func() {
		if t.Failed() {
			for _, g := range s.gateways {
				t.Logf("%s:\n%s", g.vm, g.Tail())
			}
		}
	})
	return s
}

// awaitWhole waits until all gateways are ready, know each other and all servers.
func (s *site) awaitWhole() {
	s.t.Helper()
	for _, g := range s.gateways {
		harness.Eventually(s.t, siteWait, g.vm+" knows all", func() error {
			state, err := g.state()
			if err != nil {
				return err
			}
			if !state.Ready || state.Entries != len(s.gateways) || len(state.Addresses) != len(s.gateways) || len(state.Servers) != len(s.servers) {
				return errors.Errorf("it knows %+v", state)
			}
			return nil
		})
	}
}

// gatewayState is what a gateway's dump says, as far as tests need it.
type gatewayState struct {
	Ready     bool       `json:"ready"`
	Config    int64      `json:"config_version"`
	Entries   int        `json:"entries"`
	Addresses []string   `json:"addresses"`
	Servers   []struct{} `json:"servers"`
}

// stateTime bounds the question for a state.
const stateTime = 2 * time.Second

func (g *gatewayProcess) state() (gatewayState, error) {
	var state gatewayState
	client := http.Client{Timeout: stateTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + net.JoinHostPort(g.ip, fakeplatform.PortAdmin) + "/debug/state")
	if err != nil {
		return state, err
	}
	defer func() { _ = resp.Body.Close() }()
	return state, json.NewDecoder(resp.Body).Decode(&state)
}

// keepTime is how long callers keep the addresses that they were told, as the platform's
// callers do at most.
const keepTime = 2 * time.Second

// addressBook is a caller's knowledge of where to connect.
type addressBook struct {
	site   *site
	client *http.Client

	mu    sync.Mutex
	known []string
	at    time.Time
	next  int
}

func (s *site) newBook() *addressBook {
	return &addressBook{site: s, client: &http.Client{Timeout: stateTime}}
}

// pick returns the next address, asking anew when what is known is old.
func (b *addressBook) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := 0; (len(b.known) == 0 || time.Since(b.at) > keepTime) && i < len(b.site.gateways); i++ {
		b.next++
		at := time.Now()
		if known := fakeplatform.Resolve(b.client, b.site.gateways[b.next%len(b.site.gateways)].ip); len(known) > 0 {
			b.known, b.at = known, at
		}
	}
	if len(b.known) == 0 {
		return net.JoinHostPort(b.site.gateways[0].ip, fakeplatform.PortCallers)
	}
	b.next++
	return b.known[b.next%len(b.known)]
}
