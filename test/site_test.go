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

// siteTimeout is how long a site may take for what must happen.
const siteTimeout = 20 * time.Second

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
	// storeProxy is its own way to the store.
	storeProxy *fakeplatform.Door
}

// siteSpec says what a site is like.
type siteSpec struct {
	gateways int
	// answer is that of the backend servers.
	answer fakeplatform.Answer
	// links are put before each backend server and each gateway's door, and return the address
	// to use in place of theirs; nil for none.
	serverLink, storeLink func(address string) string
}

// startSite starts a site with so many gateways, and a backend server in each of three
// failure domains that answers as given. It waits until all gateways know all servers.
func startSite(t *testing.T, gateways int, answer fakeplatform.Answer) *site {
	t.Helper()
	return startSiteWith(t, siteSpec{gateways: gateways, answer: answer})
}

// startSiteWith is startSite for a site with links that can be broken.
func startSiteWith(t *testing.T, spec siteSpec) *site {
	t.Helper()
	s := &site{t: t, dir: harness.Dir(t, strings.ReplaceAll(t.Name(), "/", "-")), store: fakeplatform.NewStore(t)}
	s.store.Configure(1, fakeplatform.Routes(), fakeplatform.CallerKey)
	for _, domain := range domains {
		place := fakeplatform.Place{ID: "i-" + domain, FailureDomain: domain, Concurrency: 16, Link: spec.serverLink}
		s.servers = append(s.servers, s.store.ServeAt(t, place, spec.answer))
	}
	var seeds []string
	for i := range spec.gateways {
		g := &gatewayProcess{vm: fmt.Sprintf("front-%d", i+1), ip: fakeplatform.OwnIP(), storeProxy: s.store.Door(t)}
		store := g.storeProxy.Address
		if spec.storeLink != nil {
			store = spec.storeLink(store)
		}
		entry := fakeplatform.Entry{VM: g.vm, IP: g.ip, FailureDomain: domains[i%len(domains)], Store: store, Seeds: seeds}
		g.Process = harness.StartWith(t, []string{entry.WriteSettings(t, s.dir)}, s.dir, g.vm, binDir+"/apricothub", "gateway")
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

// waitUntilConnected waits until all gateways are ready, know each other and all servers.
func (s *site) waitUntilConnected() {
	s.t.Helper()
	for _, g := range s.gateways {
		harness.Eventually(s.t, siteTimeout, g.vm+" knows all", func() error {
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

// stateTimeout bounds the question for a state.
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

// addressTTL is how long callers keep the addresses that they were told, as the platform's
// callers do at most.
const addressTTL = 2 * time.Second

// addressCache is a caller's knowledge of where to connect.
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

// pick returns the next address, asking anew when what is known is old.
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
