package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/platform"
)

// observedStep is the newest known step of a group, and when it was first seen.
type observedStep struct {
	step  uint64
	since time.Duration
}

// recordStep records the step in a coordinator's report.
func (d *directory) recordStep(now time.Duration, s *api.BackendStatus) {
	g := s.GetGroupStatus()
	if g == nil {
		return
	}
	if last, ok := d.lastSteps[s.GetGroup()]; !ok || last.step != g.GetStep() {
		d.lastSteps[s.GetGroup()] = observedStep{step: g.GetStep(), since: now}
	}
}

// groups returns the expert-parallel groups that coordinators report, and those on the platform's
// list that none reports. When the agent of rank 0 dies, its group stops and nobody reports it, but
// it must not disappear from status and alarms.
func (d *directory) groups(now time.Duration, vms []platform.VM) []adminapi.Group {
	d.mu.Lock()
	defer d.mu.Unlock()
	byName := make(map[string]adminapi.Group)
	for vm, s := range d.status {
		if g := s.GetGroupStatus(); g != nil {
			byName[s.GetGroup()] = adminapi.GroupFromStatus(s.GetGroup(), vm, g)
		}
	}
	for _, vm := range vms {
		g := byName[vm.Group]
		if vm.Role != platform.RoleBackend || vm.Group == "" || g.Coordinator != "" {
			continue
		}
		g.Name = vm.Group
		g.AgentsAll++
		if d.status[vm.ID] != nil {
			g.Agents++
		}
		byName[vm.Group] = g
	}
	all := make([]adminapi.Group, 0, len(byName))
	for name, g := range byName {
		last, ok := d.lastSteps[name]
		if !ok {
			last.since = now
			d.lastSteps[name] = last
		}
		g.Step = max(g.Step, last.step)
		g.StepAgeMs = (now - last.since).Milliseconds()
		all = append(all, g)
	}
	for name := range d.lastSteps {
		if _, ok := byName[name]; !ok {
			delete(d.lastSteps, name)
		}
	}
	slices.SortFunc(all, func(a, b adminapi.Group) int { return strings.Compare(a.Name, b.Name) })
	return all
}
