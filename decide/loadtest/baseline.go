package loadtest

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/place"
)

// picker chooses the backend server for a request at an entry.
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

// baselinePicker implements the baseline policies. It knows which backend servers are up, but not
// their load.
type baselinePicker struct {
	vms              []string
	domains          map[string]string
	weights          map[string]float64
	suspect          map[string]bool
	inFlight         map[string]int
	leastConnections bool
	nextIndex        int
}

func newBaselinePicker(leastConnections bool) *baselinePicker {
	return &baselinePicker{
		domains: map[string]string{}, weights: map[string]float64{},
		suspect: map[string]bool{}, inFlight: map[string]int{}, leastConnections: leastConnections,
	}
}

func (p *baselinePicker) SetServers(servers []place.Server) {
	for _, s := range servers {
		p.vms = append(p.vms, s.VM)
		p.domains[s.VM] = s.Domain
		p.weights[s.Domain] = 1
	}
}

func (p *baselinePicker) SetDomainWeight(domain string, weight float64)     { p.weights[domain] = weight }
func (p *baselinePicker) Report(string, time.Duration, place.Report)        {}
func (p *baselinePicker) SetSuspect(vm string, suspect bool)                { p.suspect[vm] = suspect }
func (p *baselinePicker) Started(vm string, _ time.Duration)                { p.inFlight[vm]++ }
func (p *baselinePicker) Ended(vm string, _ time.Duration, _ place.Outcome) { p.inFlight[vm]-- }
func (p *baselinePicker) Slots(string, time.Duration) (int, int)            { return 1 << 20, 1 << 20 }

// Pick chooses by round robin, or by least connections with round robin among equals.
func (p *baselinePicker) Pick(_ time.Duration, req place.Request) (string, api.ResultCode) {
	best := ""
	for range p.vms {
		vm := p.vms[p.nextIndex%len(p.vms)]
		p.nextIndex++
		if p.suspect[vm] || p.weights[p.domains[vm]] < 1 || slices.Contains(req.Avoid, vm) {
			continue
		}
		if !p.leastConnections {
			return vm, api.ResultCode_OK
		}
		if best == "" || p.inFlight[vm] < p.inFlight[best] {
			best = vm
		}
	}
	if best == "" {
		return "", api.ResultCode_NO_BACKEND
	}
	p.nextIndex++
	return best, api.ResultCode_OK
}
