package entry

import (
	"hash/fnv"

	"github.com/apricothub/apricothub/decide/subset"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
)

// chooseReporters returns the reporting entry of each agent on a list, with this entry's settings.
func (e *entry) chooseReporters(vms []platform.VM) map[string]string {
	return reportersByAgent(vms, e.links.agentsPerOffer)
}

// reportersByAgent chooses the entry that reports on each agent. It uses the list of VMs alone, so
// that all entries choose the same; nil if each entry has links to all agents. The reporter is one
// of the entries with the agent in their subsets, because their links exist already. For an agent
// in no subset it is chosen by hash, and dials the agent when asked.
func reportersByAgent(vms []platform.VM, agentsPerOffer int) map[string]string {
	if agentsPerOffer == 0 {
		return nil
	}
	regions := make(map[string][]subset.Node)
	offers := make(map[string][]platform.VM)
	var allEntries []string
	for _, vm := range vms {
		switch {
		case vm.Role == platform.RoleEntry:
			regions[vm.Region] = append(regions[vm.Region], subset.Node{Name: vm.ID, Domain: vm.FailureDomain})
			allEntries = append(allEntries, vm.ID)
		case vm.Offer != "" && vm.State != platform.StateLeaving:
			offers[vm.Offer] = append(offers[vm.Offer], vm)
		}
	}
	linked := make(map[string][]string)
	for region, entries := range regions {
		for _, agents := range offers {
			for entry, own := range subset.Assign(entries, inRegion(agents, region), agentsPerOffer) {
				for _, agent := range own {
					linked[agent] = append(linked[agent], entry)
				}
			}
		}
	}
	reporterOf := make(map[string]string)
	for _, vm := range vms {
		if vm.Role != platform.RoleBackend {
			continue
		}
		candidates := linked[vm.ID]
		for _, entry := range regions[vm.Region] {
			if len(linked[vm.ID]) == 0 {
				candidates = append(candidates, entry.Name)
			}
		}
		if len(candidates) == 0 {
			candidates = allEntries
		}
		if entry := highestScored(vm.ID, candidates); entry != "" {
			reporterOf[vm.ID] = entry
		}
	}
	return reporterOf
}

// highestScored returns the entry with the highest rendezvous hash. When an entry leaves, its agents
// are spread over all others, and no other agent gets another reporter.
func highestScored(agent string, entries []string) string {
	var best string
	var bestScore uint64
	for _, entry := range entries {
		h := fnv.New64a()
		_, _ = h.Write([]byte(agent + "\x00" + entry))
		if score := h.Sum64(); best == "" || score > bestScore || score == bestScore && entry < best {
			best, bestScore = entry, score
		}
	}
	return best
}

// ensureLinked requests a link to an agent that this entry reports on, or renews the time of its
// last use. It runs on the control goroutine.
func (e *entry) ensureLinked(vm string) {
	if e.links.requestSpare(clock.Now(), vm) {
		e.node.Redial()
	}
	e.retainLink(vm)()
}
