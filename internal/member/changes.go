package member

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
)

// maxTrackedChanges limits the number of changes whose distribution to all members is tracked at
// the same time.
const maxTrackedChanges = 256

// trackedChange is a change whose distribution to all members is tracked.
type trackedChange struct {
	acceptance *config.Acceptance
	// lastAsked is when reporters were last asked about the change.
	lastAsked time.Duration
}

// ChangeProgress is the state of a change on its way to all members.
type ChangeProgress struct {
	// Verdict is nil until an applied record contains the change.
	Verdict *api.Verdict
	State   config.AcceptanceState
	// Missing lists the live members that have not shown that they hold the change.
	Missing []string
}

// Change returns the progress of a change, and tracks the change from the first call on.
func (n *Node) Change(changeID string) ChangeProgress {
	var progress ChangeProgress
	n.Do(func() { progress = n.changeProgress(changeID) })
	return progress
}

func (n *Node) changeProgress(changeID string) ChangeProgress {
	verdict, ok := n.fold.Verdict(changeID)
	if !ok {
		return ChangeProgress{}
	}
	if !verdict.GetAccepted() {
		return ChangeProgress{Verdict: verdict}
	}
	now := clock.Now()
	tracked := n.trackedChanges[changeID]
	if tracked == nil {
		tracked = &trackedChange{
			acceptance: config.NewAcceptance(verdict.GetOffset(), millis(n.options.Links.GetFreshnessMs()), now),
			lastAsked:  now - n.link.HeartbeatInterval,
		}
		n.trackChange(changeID, tracked)
	}
	n.updateAcceptance(tracked.acceptance, now)
	state, missing := tracked.acceptance.State(now)
	if state != config.InForce {
		n.requestHolders(tracked, missing, now)
	}
	return ChangeProgress{Verdict: verdict, State: state, Missing: missing}
}

func (n *Node) trackChange(changeID string, tracked *trackedChange) {
	if len(n.trackedChanges) >= maxTrackedChanges {
		for id := range n.trackedChanges {
			delete(n.trackedChanges, id)
			break
		}
	}
	n.trackedChanges[changeID] = tracked
}

// updateAcceptance passes to an acceptance what each member has shown. A process that is linked but
// not on the list of VMs counts only while it lacks the change. Package fresh determines majorities
// from the list, so a majority that includes an unlisted process need not overlap with those.
func (n *Node) updateAcceptance(acceptance *config.Acceptance, now time.Duration) {
	listed := make(map[string]bool, len(n.vms))
	for _, vm := range n.vms {
		listed[vm.ID] = true
		acceptance.ExpectMember(vm.ID, roleOf(vm))
	}
	for vm := range n.removedVMs {
		acceptance.RemoveMember(vm)
	}
	if self := n.options.Self; listed[self.GetVm()] {
		acceptance.UpdateMember(self.GetVm(), self.GetRole(), n.fold.Applied(), now)
	}
	for vm, p := range n.byVM {
		switch {
		case !p.hasReported:
		case !listed[vm] && p.applied >= acceptance.Offset():
			acceptance.RemoveMember(vm)
		default:
			acceptance.UpdateMember(vm, p.published.Hello.GetRole(), p.applied, p.notBefore)
		}
	}
}

// recordRemovedVMs records the VMs that have left the platform's list, until they return.
func (n *Node) recordRemovedVMs(vms []platform.VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		delete(n.removedVMs, vm.ID)
	}
	for _, vm := range n.vms {
		if !listed[vm.ID] {
			n.removedVMs[vm.ID] = true
		}
	}
	if len(n.removedVMs) > maxRemovedVMs {
		n.removedVMs = make(map[string]bool)
	}
}

// maxRemovedVMs limits the number of removed VMs that are kept: a few days of them in the largest
// supported system.
const maxRemovedVMs = 8192

func roleOf(vm platform.VM) api.Role {
	if vm.Role == platform.RoleEntry {
		return api.Role_ROLE_ENTRY
	}
	return api.Role_ROLE_AGENT
}

// MemberStatus is the state of a process of the system as last reported to this one.
type MemberStatus struct {
	VM            string
	Role          api.Role
	FailureDomain string
	Incarnation   string
	Version       string
	Applied       int64
	Link          string // "up", "suspect", "down", or empty where there should be none
	Ready         bool
	Draining      bool
	Leaving       bool
}

// Overview is what a member knows about itself and about the other members.
type Overview struct {
	Knowledge    *api.Knowledge
	LogDownFor   time.Duration // since the first read of the log that failed; 0 while the log answers
	Members      []MemberStatus
	LogReachable bool
}

// Overview returns the overview that is shown to operators.
func (n *Node) Overview() Overview {
	var o Overview
	n.Do(func() {
		now := clock.Now()
		o.Knowledge = n.fresh.Knowledge(now, n.fold.Applied())
		o.LogReachable = n.logFailingSince == 0
		if !o.LogReachable {
			o.LogDownFor = now - n.logFailingSince
		}
		o.Members = n.memberStatuses()
	})
	return o
}

func (n *Node) memberStatuses() []MemberStatus {
	var statuses []MemberStatus
	listed := make(map[string]bool)
	for _, vm := range n.vms {
		listed[vm.ID] = true
		if vm.ID == n.options.Self.GetVm() {
			continue
		}
		status := MemberStatus{
			VM:            vm.ID,
			Role:          roleOf(vm),
			FailureDomain: vm.FailureDomain,
			Applied:       -1,
			Link:          n.absentLinkState(vm),
			Leaving:       vm.State == platform.StateLeaving,
		}
		if p := n.byVM[vm.ID]; p != nil {
			status.setFromPeer(p)
		}
		statuses = append(statuses, status)
	}
	for vm, p := range n.byVM {
		if !listed[vm] {
			status := MemberStatus{VM: vm}
			status.setFromPeer(p)
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// absentLinkState returns the link state that is shown to operators for a VM without a link.
func (n *Node) absentLinkState(vm platform.VM) string {
	if n.isUnlinkedByDesign(vm) {
		return ""
	}
	return "down"
}

func (s *MemberStatus) setFromPeer(p *peer) {
	hello := p.published.Hello
	s.Role = hello.GetRole()
	s.FailureDomain = hello.GetFailureDomain()
	s.Incarnation = hello.GetIncarnation()
	s.Version = hello.GetVersion()
	s.Applied = p.applied
	s.Ready = p.ready
	s.Draining = p.draining
	s.Link = "up"
	if p.published.Session.Suspect() {
		s.Link = "suspect"
	}
}

// List returns a list in force, and the verdict of the change that created it as long as the
// verdict is kept.
func (n *Node) List(list api.ListName) (int64, []*api.Section, *api.Verdict) {
	view := n.State().View
	offset := view.ListOffset(list)
	var madeBy *api.Verdict
	n.Do(func() {
		if verdict, ok := n.fold.VerdictAt(offset); ok && verdict.GetAccepted() {
			madeBy = verdict
		}
	})
	return offset, view.Sections(list), madeBy
}
