package loadtest

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/place"
)

// picker is what an entry asks where to send a request.
type picker interface {
	SetServers(servers []place.Server)
	SetDomainWeight(domain string, weight float64)
	Report(vm string, now time.Duration, r place.Report)
	SetSuspect(vm string, suspect bool)
	Started(vm string, now time.Duration)
	Ended(vm string, now time.Duration, o place.Outcome)
	Pick(now time.Duration, req place.Request) (string, api.ResultCode)
	Slots(offer string, now time.Duration) (free, capacity int)
}

// plain is what the baselines share: they know who is up and nothing of load.
type plain struct {
	vms     []string
	domains map[string]string
	weights map[string]float64
	suspect map[string]bool
	own     map[string]int
	least   bool
	at      int
}

func newPlain(least bool) *plain {
	return &plain{
		domains: map[string]string{}, weights: map[string]float64{},
		suspect: map[string]bool{}, own: map[string]int{}, least: least,
	}
}

func (p *plain) SetServers(servers []place.Server) {
	for _, s := range servers {
		p.vms = append(p.vms, s.VM)
		p.domains[s.VM] = s.Domain
		p.weights[s.Domain] = 1
	}
}

func (p *plain) SetDomainWeight(domain string, weight float64)     { p.weights[domain] = weight }
func (p *plain) Report(string, time.Duration, place.Report)        {}
func (p *plain) SetSuspect(vm string, suspect bool)                { p.suspect[vm] = suspect }
func (p *plain) Started(vm string, _ time.Duration)                { p.own[vm]++ }
func (p *plain) Ended(vm string, _ time.Duration, _ place.Outcome) { p.own[vm]-- }
func (p *plain) Slots(string, time.Duration) (int, int)            { return 1 << 20, 1 << 20 }

// Pick is round robin, or least connections with round robin between equals.
func (p *plain) Pick(_ time.Duration, req place.Request) (string, api.ResultCode) {
	best := ""
	for range p.vms {
		vm := p.vms[p.at%len(p.vms)]
		p.at++
		if p.suspect[vm] || p.weights[p.domains[vm]] < 1 || slices.Contains(req.Avoid, vm) {
			continue
		}
		if !p.least {
			return vm, api.ResultCode_OK
		}
		if best == "" || p.own[vm] < p.own[best] {
			best = vm
		}
	}
	if best == "" {
		return "", api.ResultCode_NO_BACKEND
	}
	p.at++
	return best, api.ResultCode_OK
}
