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

// siteTimeout is how long a site may take to reach an expected state.
const siteTimeout = 20 * time.Second

// site is a fake of the users' platform, with gateways as separate processes.
type site struct {
	t        *testing.T
	dir      string
	store    *fakeplatform.Store
	servers  []*fakeplatform.Server
	gateways []*gatewayProcess
}

// gatewayProcess is one gateway.
type gatewayProcess struct {
	*harness.Process
	vm, ip string
	// storeEndpoint is the store's address for this gateway alone. A test can make it unavailable.
	storeEndpoint *fakeplatform.Endpoint
}

// siteSpec describes a site.
type siteSpec struct {
	gateways int
	// answer is the handler of the backend servers.
	answer fakeplatform.Handler
	// serverLink and storeLink place a proxy in front of a backend server and of a gateway's
	// storeEndpoint, and return the address to use instead. Nil places none.
	serverLink, storeLink func(address string) string
	// machine is the VM of each gateway.
	machine fakeplatform.Machine
	// limits are the limits on callers; nil for those of the store.
	limits *fakeplatform.Limits
}

// startSite starts a site with the given number of gateways and a backend server in each of three
// failure domains. It waits until all gateways know all servers.
func startSite(t *testing.T, gateways int, answer fakeplatform.Handler) *site {
	t.Helper()
	return startSiteWith(t, siteSpec{gateways: gateways, answer: answer})
}

// startSiteWith is startSite for a site whose links can be broken.
func startSiteWith(t *testing.T, spec siteSpec) *site {
	t.Helper()
	s := &site{t: t, dir: harness.NewDir(t, strings.ReplaceAll(t.Name(), "/", "-")), store: fakeplatform.NewStore(t)}
	if spec.limits != nil {
		s.store.Limits = *spec.limits
	}
	s.store.Configure(1, fakeplatform.Routes(), fakeplatform.CallerKey)
	for _, domain := range domains {
		registration := fakeplatform.Registration{ID: "i-" + domain, FailureDomain: domain, Concurrency: 16, MapAddress: spec.serverLink}
		s.servers = append(s.servers, s.store.ServeAt(t, registration, spec.answer))
	}
	var seeds []string
	for i := range spec.gateways {
		g := &gatewayProcess{vm: fmt.Sprintf("front-%d", i+1), ip: fakeplatform.NewLoopbackIP(), storeEndpoint: s.store.NewEndpoint(t)}
		store := g.storeEndpoint.Address
		if spec.storeLink != nil {
			store = spec.storeLink(store)
		}
		entry := fakeplatform.Entry{VM: g.vm, IP: g.ip, FailureDomain: domains[i%len(domains)], Store: store, Seeds: seeds, Machine: spec.machine}
		g.Process = harness.StartWithEnv(t, []string{entry.WriteSettings(t, s.dir)}, s.dir, g.vm, binDir+"/apricothub", "gateway")
		s.gateways = append(s.gateways, g)
		seeds = append(seeds, g.ip)
	}
	s.waitUntilConnected()
	t.Cleanup(func() {
		if t.Failed() {
			for _, g := range s.gateways {
				t.Logf("%s:\n%s", g.vm, g.Tail())
			}
		}
	})
	return s
}

// waitUntilConnected waits until all gateways are ready and know each other and all servers.
func (s *site) waitUntilConnected() {
	s.t.Helper()
	for _, g := range s.gateways {
		harness.Eventually(s.t, siteTimeout, g.vm+" knows all gateways and servers", func() error {
			state, err := g.state()
			if err != nil {
				return err
			}
			if !state.Ready || state.Entries != len(s.gateways) || len(state.Addresses) != len(s.gateways) || len(state.Servers) != len(s.servers) {
				return errors.Errorf("its state is %+v", state)
			}
			return nil
		})
	}
}

// gatewayState is the part of a gateway's dump that the tests use.
type gatewayState struct {
	Ready     bool       `json:"ready"`
	Config    int64      `json:"config_version"`
	Entries   int        `json:"entries"`
	Addresses []string   `json:"addresses"`
	Servers   []struct{} `json:"servers"`
}

// stateTimeout limits a request for a gateway's state.
const stateTimeout = 2 * time.Second

func (g *gatewayProcess) state() (gatewayState, error) {
	var state gatewayState
	client := http.Client{Timeout: stateTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + net.JoinHostPort(g.ip, fakeplatform.PortAdmin) + "/debug/state")
	if err != nil {
		return state, err
	}
	defer func() { _ = resp.Body.Close() }()
	return state, json.NewDecoder(resp.Body).Decode(&state)
}

// addressTTL is how long callers keep the addresses that they resolved; the platform's callers keep
// them no longer.
const addressTTL = 2 * time.Second

// addressCache holds the gateway addresses that a caller has resolved.
type addressCache struct {
	site   *site
	client *http.Client

	mu         sync.Mutex
	addresses  []string
	resolvedAt time.Time
	next       int
}

func (s *site) newAddressCache() *addressCache {
	return &addressCache{site: s, client: &http.Client{Timeout: stateTimeout}}
}

// pick returns the next address. It resolves again when the cached addresses have expired.
func (c *addressCache) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 0; (len(c.addresses) == 0 || time.Since(c.resolvedAt) > addressTTL) && i < len(c.site.gateways); i++ {
		c.next++
		now := time.Now()
		if resolved := fakeplatform.Resolve(c.client, c.site.gateways[c.next%len(c.site.gateways)].ip); len(resolved) > 0 {
			c.addresses, c.resolvedAt = resolved, now
		}
	}
	if len(c.addresses) == 0 {
		return net.JoinHostPort(c.site.gateways[0].ip, fakeplatform.PortCallers)
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)]
}
