package entry

import (
	"maps"
	"slices"
	"strings"

	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/clock"
)

// placement is the part of a dump about the placement of requests.
type placement struct {
	InFlight map[string]int
	Suspect  []string
}

func (d *directory) dump() placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := placement{InFlight: maps.Clone(d.inFlight)}
	for vm, peer := range d.peers {
		if peer.Session.Suspect() {
			p.Suspect = append(p.Suspect, vm)
		}
	}
	return p
}

// backends returns the latest reports of the agents, for operators.
func (d *directory) backends() []adminapi.Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]adminapi.Backend, 0, len(d.status))
	now := clock.Now()
	for vm, s := range d.status {
		domain := ""
		if peer := d.peers[vm]; peer != nil {
			domain = peer.Hello.GetFailureDomain()
		}
		b := adminapi.BackendFromStatus(vm, domain, s)
		b.ReportAgeMs = (now - d.lastReport[vm]).Milliseconds()
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b adminapi.Backend) int { return strings.Compare(a.VM, b.VM) })
	return all
}
