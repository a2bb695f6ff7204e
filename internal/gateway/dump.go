package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apricothub/apricothub/internal/clock"
)

// dump is the state of the process for operators. It contains no keys.
type dump struct {
	VM         string `json:"vm"`
	Uptime     string `json:"uptime"`
	Ready      bool   `json:"ready"`
	Leaving    bool   `json:"leaving"`
	Config     int64  `json:"config_version"`
	ConfigAge  int64  `json:"config_age_ms"`
	ServersAge int64  `json:"servers_age_ms"`
	Entries    int    `json:"entries"`
	// Connections counts the open connections to backend servers.
	Connections int          `json:"connections"`
	Addresses   []string     `json:"addresses"`
	Servers     []serverDump `json:"servers"`
	// RetryBudgets are the retry budgets of services.
	RetryBudgets []retryBudgetDump `json:"retry_budgets"`
	// Quarantined are the parts of prompts under which servers have ended, and Suspects those that may have
	// ended one.
	Quarantined []quarantineDump `json:"quarantined_parts,omitempty"`
	Suspects    []string         `json:"suspect_parts,omitempty"`
	Incarnation uint64           `json:"incarnation"`
}

type serverDump struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Draining      bool   `json:"draining"`
	Ejected       bool   `json:"ejected"`
	Own           int    `json:"own"`
	Others        int    `json:"others"`
	WorkMs        int64  `json:"work_ms"`
	// RateLimit is the limit in requests per second that the server states; nil for none.
	RateLimit *float64 `json:"rate_limit,omitempty"`
}

type retryBudgetDump struct {
	Service  string `json:"service"`
	Requests int64  `json:"requests"`
	Retries  int64  `json:"retries"`
	Denied   int64  `json:"denied"`
	Claimed  int64  `json:"claimed"`
}

type quarantineDump struct {
	Part string `json:"part"`
	// LeftMs is negative if the quarantine is over and the part waits for a trial.
	LeftMs int64 `json:"left_ms"`
	Times  int   `json:"times"`
}

func (g *Gateway) serveDump(w http.ResponseWriter, _ *http.Request) {
	d := dump{VM: g.settings.VM, Uptime: clock.Now().Round(time.Millisecond).String(), Leaving: g.leaving.Load(), Incarnation: g.incarnation}
	if v := g.view.Load(); v != nil {
		d.Ready = v.ready
		d.ConfigAge = ageMillis(v.configAt)
		d.ServersAge = ageMillis(v.serversAt)
		d.Entries = v.entries
		d.Addresses = v.addresses
		if v.table != nil {
			d.Config = v.table.Version
		}
	}
	d.Servers = g.fleet.dump(clock.Now())
	d.Connections = g.pool.Open()
	d.RetryBudgets = g.fleet.retries.dump()
	d.Quarantined, d.Suspects = g.prompts.dump(clock.Now())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d)
}

func (f *fleet) dump(now time.Duration) []serverDump {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []serverDump
	for id, s := range f.servers {
		d := serverDump{
			ID: id, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain,
			Draining: s.Draining, Ejected: f.ejector.Ejected(id, now), Own: s.ownInFlight, Others: s.othersInFlight, WorkMs: s.workTime.Milliseconds(),
		}
		if rate, limited := f.rateLimits.Rate(s.hash); limited {
			d.RateLimit = &rate
		}
		servers = append(servers, d)
	}
	slices.SortFunc(servers, func(a, b serverDump) int { return strings.Compare(a.ID, b.ID) })
	return servers
}

func (p *promptGuard) dump(now time.Duration) ([]quarantineDump, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	quarantines, suspects := p.tracker.State(now)
	var dumped []quarantineDump
	for _, q := range quarantines {
		dumped = append(dumped, quarantineDump{Part: q.Part, LeftMs: q.Left.Milliseconds(), Times: q.Strikes})
	}
	return dumped, suspects
}
