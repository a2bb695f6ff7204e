package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/decide/urgency"
	"github.com/apricothub/apricothub/internal/routing"
)

const (
	// demandFreeRatio is the fraction of free slots below which an entry tells the others its demand.
	demandFreeRatio = 0.35
	// maxRanks limits the ranks that are told apart; less urgent ones count as the last.
	maxRanks = 10
	// firstEventSamples is the number of requests over which the moving average of the time to the first
	// event runs.
	firstEventSamples = 16
)

// setDemandTable creates or removes the table of a service. The caller holds the lock.
func (f *fleet) setDemandTable(service string, cfg *routing.Table) {
	switch {
	case !f.engines[service] || !cfg.HasRanks(service):
		delete(f.demands, service)
		delete(f.divided, service)
		f.admitter.SetRatios(offer(service), nil)
	case f.demands[service] == nil:
		f.demands[service] = urgency.NewTable()
	}
}

// divideByUrgency divides the slots of a service by urgency if more requests run or wait at all entries
// than fit, and reports whether it does. The caller holds the lock.
func (f *fleet) divideByUrgency(service string, capacity int, now time.Duration) bool {
	table := f.demands[service]
	if table == nil {
		return false
	}
	key, slots := offer(service), capacity+int(serverQueueRatio*float64(capacity))
	demand := ownDemand(f.admitter.Demand(key))
	ratios := table.Ratios(demand, slots, now)
	f.admitter.SetRatios(key, byAdmitterPriority(ratios))
	if isDivided := ratios != nil; isDivided != f.divided[service] {
		f.divided[service] = isDivided
		f.logDivision(service, demand, ratios, slots)
	}
	return ratios != nil
}

// ownDemand converts the admitter's priorities, of which the highest is the most urgent.
func ownDemand(byPriority map[int]int) urgency.Demand {
	demand := make(urgency.Demand, len(byPriority))
	for p, n := range byPriority {
		demand[-p] += n
	}
	return demand
}

func byAdmitterPriority(ratios urgency.Ratios) map[int]float64 {
	if ratios == nil {
		return nil
	}
	converted := make(map[int]float64, len(ratios))
	for p, ratio := range ratios {
		converted[-p] = ratio
	}
	return converted
}

// logDivision logs that the slots of a service begin or cease to be divided by urgency. The caller holds
// the lock.
func (f *fleet) logDivision(service string, demand urgency.Demand, ratios urgency.Ratios, slots int) {
	if ratios == nil {
		_ = level.Info(f.logger).Log("msg", "All requests for a service fit its slots again.", "service", service, "capacity", slots, "entries", f.entries)
		return
	}
	f.divisions.Inc(1)
	least := slices.Max(slices.Collect(maps.Keys(ratios)))
	_ = level.Info(f.logger).Log("msg", "The slots of a service are divided by urgency.", "service", service, "capacity", slots,
		"urgency", least, "ratio", ratios[least], "demand", demand[least], "entries", f.entries)
}

// ownDemands returns this entry's demand for the services that are nearly full.
func (f *fleet) ownDemands() []*api.ServiceDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	var demands []*api.ServiceDemand
	for service := range f.demands {
		state := f.slotStates[service]
		if !f.divided[service] && float64(state.free) >= demandFreeRatio*float64(state.capacity) {
			continue
		}
		demand := ownDemand(f.admitter.Demand(offer(service)))
		if len(demand) == 0 {
			continue
		}
		requests := make([]uint32, slices.Max(slices.Collect(maps.Keys(demand)))+1)
		for p, n := range demand {
			requests[p] = uint32(n)
		}
		demands = append(demands, &api.ServiceDemand{Service: peering.ServerHash(service), Requests: requests})
	}
	return demands
}

// setDemands records the demand of another entry.
func (f *fleet) setDemands(entry string, demands []*api.ServiceDemand, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, table := range f.demands {
		demand := make(urgency.Demand)
		for _, d := range demands {
			if d.GetService() != peering.ServerHash(service) {
				continue
			}
			for p, n := range d.GetRequests()[:min(len(d.GetRequests()), maxRanks)] {
				demand[p] = int(n)
			}
		}
		table.Set(entry, demand, now)
	}
}

// recordBegun records the time between sending a request and its first event.
func (f *fleet) recordBegun(service string, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.demands[service] == nil {
		return
	}
	average := f.firstEventDelays[service]
	if average == 0 {
		average = delay
	}
	f.firstEventDelays[service] = average + (delay-average)/firstEventSamples
}

// onTimeBy returns when a request must start at the latest to be on time; zero for unknown. The caller
// holds the lock.
func (f *fleet) onTimeBy(t *task) time.Duration {
	delay := f.firstEventDelays[t.service]
	if delay == 0 || t.route.Objective == 0 {
		return 0
	}
	return t.arrivedAt + t.route.Objective - delay
}
