package member

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
)

// maxFollowed bounds the changes whose way to all members is followed at once.
const maxFollowed = 256

// followed is a change whose way to all members is followed.
type followed struct {
	acceptance *config.Acceptance
	// asked is when reporters were last asked about it.
	asked time.Duration
}

// Progress is how far a change has come.
type Progress struct {
	// Verdict is nil while no applied record carries the change.
	Verdict *api.Verdict
	State   config.AcceptanceState
	// Missing names the live members that have not shown that they hold it.
	Missing []string
}

// Change tells how far a change has come, and follows it from the first question on.
func (n *Node) Change(changeID string) Progress {
	var progress Progress
	n.Do(func() { progress = n.change(changeID) })
	return progress
}

func (n *Node) change(changeID string) Progress {
	verdict, ok := n.fold.Verdict(changeID)
	if !ok {
		return Progress{}
	}
	if !verdict.GetAccepted() {
		return Progress{Verdict: verdict}
	}
	now := clock.Now()
	change := n.followed[changeID]
	if change == nil {
		change = &followed{
			acceptance: config.NewAcceptance(verdict.GetOffset(), millis(n.options.Links.GetFreshnessMs()), now),
			asked:      now - n.link.HeartbeatInterval,
		}
		n.follow(changeID, change)
	}
	n.feed(change.acceptance, now)
	state, missing := change.acceptance.State(now)
	if state != config.InForce {
		n.askHolders(change, missing, now)
	}
	return Progress{Verdict: verdict, State: state, Missing: missing}
}

func (n *Node) follow(changeID string, change *followed) {
	if len(n.followed) >= maxFollowed {
		for id := range n.followed {
			delete(n.followed, id)
			break
		}
	}
	n.followed[changeID] = change
}

// feed tells an acceptance what every member has shown. A process that is linked and not
// on the list counts only while it lacks the change: package fresh takes its majorities
// from the list, and one that was reached by others would not meet them.
func (n *Node) feed(acceptance *config.Acceptance, now time.Duration) {
	listed := make(map[string]bool, len(n.vms))
	for _, vm := range n.vms {
		listed[vm.ID] = true
		acceptance.ExpectMember(vm.ID, roleOf(vm))
	}
	for vm := range n.gone {
		acceptance.RemoveMember(vm)
	}
	if self := n.options.Self; listed[self.GetVm()] {
		acceptance.UpdateMember(self.GetVm(), self.GetRole(), n.fold.Applied(), now)
	}
	for vm, p := range n.byVM {
		switch {
		case !p.heard:
		case !listed[vm] && p.applied >= acceptance.Offset():
			acceptance.RemoveMember(vm)
		default:
			acceptance.UpdateMember(vm, p.shown.Hello.GetRole(), p.applied, p.said)
		}
	}
}

// noteGone remembers the VMs that have left the platform's list, until they return.
func (n *Node) noteGone(vms []platform.VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		delete(n.gone, vm.ID)
	}
	for _, vm := range n.vms {
		if !listed[vm.ID] {
			n.gone[vm.ID] = true
		}
	}
	if len(n.gone) > maxGone {
		n.gone = make(map[string]bool)
	}
}

// maxGone bounds the VMs remembered as gone: a few days' worth at the size designed
// for.
const maxGone = 8192

func roleOf(vm platform.VM) api.Role {
	if vm.Role == platform.RoleEntry {
		return api.Role_ROLE_ENTRY
	}
	return api.Role_ROLE_AGENT
}

// MemberStatus is one process of the system as this one last heard of it.
type MemberStatus struct {
	VM            string
	Role          api.Role
	FailureDomain string
	Incarnation   string
	Version       string
	Applied       int64
	Link          string // "up", "suspect", "down", or empty where none is meant to be
	Ready         bool
	Draining      bool
	Leaving       bool
}

// Overview is what a member knows of itself and of the others.
type Overview struct {
	Knowledge   *api.Knowledge
	LogDown     time.Duration // since the log last answered; 0 while it does
	Members     []MemberStatus
	LogAnswered bool
}

// Overview returns what operators are shown.
func (n *Node) Overview() Overview {
	var o Overview
	n.Do(func() {
		now := clock.Now()
		o.Knowledge = n.fresh.Knowledge(now, n.fold.Applied())
		o.LogAnswered = n.logFailing == 0
		if !o.LogAnswered {
			o.LogDown = now - n.logFailing
		}
		o.Members = n.memberStatuses()
	})
	return o
}

func (n *Node) memberStatuses() []MemberStatus {
	var all []MemberStatus
	seen := make(map[string]bool)
	for _, vm := range n.vms {
		seen[vm.ID] = true
		if vm.ID == n.options.Self.GetVm() {
			continue
		}
		status := MemberStatus{
			VM:            vm.ID,
			Role:          roleOf(vm),
			FailureDomain: vm.FailureDomain,
			Applied:       -1,
			Link:          n.missingLink(vm),
			Leaving:       vm.State == platform.StateLeaving,
		}
		if p := n.byVM[vm.ID]; p != nil {
			status.fill(p)
		}
		all = append(all, status)
	}
	for vm, p := range n.byVM {
		if !seen[vm] {
			status := MemberStatus{VM: vm}
			status.fill(p)
			all = append(all, status)
		}
	}
	return all
}

// missingLink is what operators are shown of a VM without a link.
func (n *Node) missingLink(vm platform.VM) string {
	if n.unlinked(vm) {
		return ""
	}
	return "down"
}

func (s *MemberStatus) fill(p *peer) {
	hello := p.shown.Hello
	s.Role = hello.GetRole()
	s.FailureDomain = hello.GetFailureDomain()
	s.Incarnation = hello.GetIncarnation()
	s.Version = hello.GetVersion()
	s.Applied = p.applied
	s.Ready = p.ready
	s.Draining = p.draining
	s.Link = "up"
	if p.shown.Session.Suspect() {
		s.Link = "suspect"
	}
}

// List returns a list in force with the verdict of the change that made it, while
// that is remembered.
func (n *Node) List(list api.ListName) (int64, []*api.Section, *api.Verdict) {
	view := n.State().View
	offset := view.ListOffset(list)
	var made *api.Verdict
	n.Do(func() {
		if verdict, ok := n.fold.VerdictAt(offset); ok && verdict.GetAccepted() {
			made = verdict
		}
	})
	return offset, view.Sections(list), made
}
