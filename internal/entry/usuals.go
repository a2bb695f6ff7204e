package entry

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/member"
)

// baselineTTL is how long a baseline is kept after the last report with it. It covers the
// replacement of an agent, and is short enough that the mix of prompts is the same.
const baselineTTL = 10 * time.Minute

// baselineCache keeps the baselines (api.Usual) that agents have learned about their backend
// servers, for the agents that replace them. Agents have no disk, and without the baseline a new
// agent spends half a minute or more at the cold limit of a warm engine.
type baselineCache struct {
	byVM map[string]*cachedBaseline
}

// cachedBaseline is the last report in which an agent had a baseline.
type cachedBaseline struct {
	status     *api.BackendStatus
	reportedAt time.Duration
	// holder is the incarnation that has the baseline already: the one that learned it, or the last
	// one that was given it.
	holder string
}

func newBaselineCache() *baselineCache { return &baselineCache{byVM: make(map[string]*cachedBaseline)} }

// exchange records a report. It returns the baseline to give to its agent, or nil. An agent gets
// one if it has none and its backend server has the same offers as before.
func (c *baselineCache) exchange(now time.Duration, peer *member.Peer, status *api.BackendStatus) *api.Usual {
	vm, incarnation := peer.Hello.GetVm(), peer.Hello.GetIncarnation()
	if status.GetUsual() != nil {
		c.byVM[vm] = &cachedBaseline{status: status, reportedAt: now, holder: incarnation}
		return nil
	}
	cached := c.byVM[vm]
	if cached == nil || cached.holder == incarnation || !sameOffers(cached.status, status) {
		return nil
	}
	cached.holder = incarnation
	return cached.status.GetUsual()
}

// removeExpired removes baselines past baselineTTL. Live agents report more often than that.
func (c *baselineCache) removeExpired(now time.Duration) {
	for vm, cached := range c.byVM {
		if now-cached.reportedAt > baselineTTL {
			delete(c.byVM, vm)
		}
	}
}
