package entry

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/member"
)

// baselineTTL is how long what an agent had learned is kept after its last report: the time
// in which an agent is replaced, and short enough that the mix of prompts is the same.
const baselineTTL = 10 * time.Minute

// baselineCache keeps what agents have learned of their backend servers, for the agents that
// replace them. An agent has no disk, and without it spends half a minute and more at the
// cold limit of a warm engine.
type baselineCache struct {
	byVM map[string]*cachedBaseline // by VM
}

// cachedBaseline is the last report in which an agent knew the usual.
type cachedBaseline struct {
	status     *api.BackendStatus
	reportedAt time.Duration
	// holder is the incarnation that needs it no more: the one that learned it, or one
	// that was given it.
	holder string
}

func newBaselineCache() *baselineCache { return &baselineCache{byVM: make(map[string]*cachedBaseline)} }

// exchange takes a report. It returns what its agent is to be given, or nil: an agent that
// knows nothing yet of a backend server that offers what it offered before.
func (u *baselineCache) exchange(now time.Duration, peer *member.Peer, status *api.BackendStatus) *api.Usual {
	vm, incarnation := peer.Hello.GetVm(), peer.Hello.GetIncarnation()
	if status.GetUsual() != nil {
		u.byVM[vm] = &cachedBaseline{status: status, reportedAt: now, holder: incarnation}
		return nil
	}
	cached := u.byVM[vm]
	if cached == nil || cached.holder == incarnation || !sameOffers(cached.status, status) {
		return nil
	}
	cached.holder = incarnation
	return cached.status.GetUsual()
}

// removeExpired lets go of what is too old. Agents that live report more often than that.
func (u *baselineCache) removeExpired(now time.Duration) {
	for vm, cached := range u.byVM {
		if now-cached.reportedAt > baselineTTL {
			delete(u.byVM, vm)
		}
	}
}
