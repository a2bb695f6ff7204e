package member

import (
	"slices"
	"strings"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/clock"
)

// AdminStatus returns what this member knows about the system, in the form shown to operators. The
// caller adds backend servers and groups.
func (n *Node) AdminStatus() *adminapi.Status {
	state := n.State()
	overview := n.Overview()
	self := n.options.Self
	status := &adminapi.Status{
		Process: adminapi.Process{
			VM:            self.GetVm(),
			Role:          roleName(self.GetRole()),
			FailureDomain: self.GetFailureDomain(),
			Incarnation:   self.GetIncarnation(),
			Version:       self.GetVersion(),
			UptimeMs:      clock.Now().Milliseconds(),
			Applied:       overview.Knowledge.GetApplied(),
			Freshness:     state.Mode.String(),
			EvidenceAgeMs: overview.Knowledge.GetEvidenceAgeMs(),
			Ready:         state.RefusalCode(clock.Now()) == api.ResultCode_OK,
			Draining:      state.Draining,
		},
		Log: adminapi.LogStatus{
			Reachable: overview.LogReachable,
			DownMs:    overview.LogDownFor.Milliseconds(),
		},
	}
	for _, list := range []api.ListName{api.ListName_LIST_PLANS, api.ListName_LIST_USES} {
		offset, sections, verdict := n.List(list)
		status.Lists = append(status.Lists, adminapi.ListStatus{
			Name:     adminapi.ListName(list),
			Offset:   offset,
			Sections: len(sections),
			Author:   verdict.GetAuthor(),
			ChangeID: verdict.GetChangeId(),
		})
	}
	for _, mark := range state.View.Marks() {
		status.Marks = append(status.Marks, adminapi.Mark{
			Target: adminapi.TargetName(mark.GetTarget()),
			Name:   mark.GetName(),
			Out:    mark.GetOut(),
			Offset: mark.GetOffset(),
		})
	}
	for _, m := range overview.Members {
		status.Members = append(status.Members, adminapi.Member{
			VM:            m.VM,
			Role:          roleName(m.Role),
			FailureDomain: m.FailureDomain,
			Incarnation:   m.Incarnation,
			Version:       m.Version,
			Applied:       m.Applied,
			Link:          m.Link,
			Ready:         m.Ready,
			Draining:      m.Draining,
			Leaving:       m.Leaving,
		})
	}
	slices.SortFunc(status.Members, func(a, b adminapi.Member) int { return strings.Compare(a.VM, b.VM) })
	return status
}

func roleName(role api.Role) string {
	if role == api.Role_ROLE_ENTRY {
		return "entry"
	}
	return "agent"
}
