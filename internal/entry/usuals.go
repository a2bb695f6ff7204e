package entry

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/member"
)

// usualKeep is how long what an agent had learned is kept after its last report: the time
// in which an agent is replaced, and short enough that the mix of prompts is the same.
const usualKeep = 10 * time.Minute

// usuals keeps what agents have learned of their backend servers, for the agents that
// replace them. An agent has no disk, and without it spends half a minute and more at the
// cold limit of a warm engine.
type usuals struct {
	kept map[string]*keptUsual // by VM
}

// keptUsual is the last report in which an agent knew the usual.
type keptUsual struct {
	status *api.BackendStatus
	at     time.Duration
	// told is the incarnation that needs it no more: the one that learned it, or one
	// that was given it.
	told string
}

func newUsuals() *usuals { return &usuals{kept: make(map[string]*keptUsual)} }

// note takes a report. It returns what its agent is to be given, or nil: an agent that
// knows nothing yet of a backend server that offers what it offered before.
func (u *usuals) note(now time.Duration, peer *member.Peer, status *api.BackendStatus) *api.Usual {
	vm, incarnation := peer.Hello.GetVm(), peer.Hello.GetIncarnation()
	if status.GetUsual() != nil {
		u.kept[vm] = &keptUsual{status: status, at: now, told: incarnation}
		return nil
	}
	kept := u.kept[vm]
	if kept == nil || kept.told == incarnation || !sameOffers(kept.status, status) {
		return nil
	}
	kept.told = incarnation
	return kept.status.GetUsual()
}

// prune lets go of what is too old. Agents that live report more often than that.
func (u *usuals) prune(now time.Duration) {
	for vm, kept := range u.kept {
		if now-kept.at > usualKeep {
			delete(u.kept, vm)
		}
	}
}
