package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/platform"
)

// stepSeen is the newest step that is known of a group, and since when.
type stepSeen struct {
	step uint64
	at   time.Duration
}

// noteStep takes the step of a coordinator's report.
func (d *directory) noteStep(now time.Duration, s *api.BackendStatus) {
	g := s.GetGroupStatus()
	if g == nil {
		return
	}
	if seen, ok := d.steps[s.GetGroup()]; !ok || seen.step != g.GetStep() {
		d.steps[s.GetGroup()] = stepSeen{step: g.GetStep(), at: now}
	}
}

// groups returns the expert-parallel groups that coordinators report, and those of the
// platform's list that none reports: when the agent of rank 0 dies its group takes no step,
// and must not vanish from status and alarms just then.
func (d *directory) groups(now time.Duration, vms []platform.VM) []adminapi.Group {
	d.mu.Lock()
	defer d.mu.Unlock()
	named := make(map[string]adminapi.Group)
	for vm, s := range d.status {
		if g := s.GetGroupStatus(); g != nil {
			named[s.GetGroup()] = adminapi.GroupFromStatus(s.GetGroup(), vm, g)
		}
	}
	for _, vm := range vms {
		g := named[vm.Group]
		if vm.Role != platform.RoleBackend || vm.Group == "" || g.Coordinator != "" {
			continue
		}
		g.Name = vm.Group
		g.AgentsAll++
		if d.status[vm.ID] != nil {
			g.Agents++
		}
		named[vm.Group] = g
	}
	all := make([]adminapi.Group, 0, len(named))
	for name, g := range named {
		seen, ok := d.steps[name]
		if !ok {
			seen.at = now
			d.steps[name] = seen
		}
		g.Step = max(g.Step, seen.step)
		g.StepAgeMs = (now - seen.at).Milliseconds()
		all = append(all, g)
	}
	for name := range d.steps {
		if _, ok := named[name]; !ok {
			delete(d.steps, name)
		}
	}
	slices.SortFunc(all, func(a, b adminapi.Group) int { return strings.Compare(a.Name, b.Name) })
	return all
}
