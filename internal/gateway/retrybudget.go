package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/retry"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/platform"
)

const (
	// maxClaimWait is how long a request waits at most for a token from the reserve, and maxClaimWaitRatio the
	// fraction of its time left.
	maxClaimWait      = time.Second
	maxClaimWaitRatio = 0.25
	// maxClaimWaiters limits the requests of a service that wait for one.
	maxClaimWaiters = 256
	// defaultRetryWindow is the window of the retry budget if the settings give none.
	defaultRetryWindow = 10 * time.Second
	// spentBudgetLogInterval is the time between two log lines about the spent budget of a service.
	spentBudgetLogInterval = time.Second
)

func retryLimits(b platform.Bounds) retry.Limits {
	return retry.Limits{Ratio: b.RetryRatio, Reserve: b.RetryReserve, Window: cmp.Or(b.RetryWindow, defaultRetryWindow)}
}

// retryBudgets holds the retry budgets of all services at this entry. A request that finds no token waits
// briefly while some are claimed from the reserve. It is safe for concurrent use.
type retryBudgets struct {
	limits retry.Limits
	logger log.Logger
	// needed receives a value when tokens are to be claimed.
	needed chan struct{}

	mu       sync.Mutex
	services map[string]*serviceRetries
}

// serviceRetries is the retry budget of one service.
type serviceRetries struct {
	budget *retry.Budget
	ledger *retry.Ledger
	// waiting are the requests that wait for a token; each is told whether it has got one.
	waiting []chan grant
	// isWanted means that a token is wanted although no request waits.
	isWanted bool
	// deniedUntil is until when no claim is tried, since the reserve is spent or the store does not answer.
	deniedUntil time.Duration
	// loggedAt is when it was last logged that the budget is spent; zero for never.
	loggedAt time.Duration
}

// grant tells a waiting request whether it has got a token.
type grant struct {
	token retry.Token
	ok    bool
}

func newRetryBudgets(l retry.Limits) *retryBudgets {
	return &retryBudgets{limits: l, logger: log.NewNopLogger(), needed: make(chan struct{}, 1), services: make(map[string]*serviceRetries)}
}

// service returns the budget of a service. The caller holds the lock.
func (r *retryBudgets) service(name string) *serviceRetries {
	s := r.services[name]
	if s == nil {
		s = &serviceRetries{budget: retry.NewBudget(r.limits), ledger: retry.NewLedger(r.limits)}
		r.services[name] = s
	}
	return s
}

// retain forgets the services that are not configured any more.
func (r *retryBudgets) retain(isConfigured func(service string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.services {
		if !isConfigured(name) && len(s.waiting) == 0 {
			delete(r.services, name)
		}
	}
}

// countRequest counts a first attempt of a request of a service.
func (r *retryBudgets) countRequest(service string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).budget.CountRequest(now)
}

// canSpend reports whether there is a token. If there is none, some will be claimed.
func (r *retryBudgets) canSpend(service string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	if s.budget.CanSpend(now) {
		return true
	}
	if now >= s.deniedUntil {
		s.isWanted = true
		r.requestClaim()
	}
	return false
}

// hasSpare reports whether there is a token for a retry that is of use but not needed. If there is none, one
// will be claimed while half of the reserve is left.
func (r *retryBudgets) hasSpare(service string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	if s.budget.HasSpare(now) {
		return true
	}
	if now >= s.deniedUntil && s.ledger.HasSpare(now) {
		s.isWanted = true
		r.requestClaim()
	}
	return false
}

// spend takes a token, and reports whether there was one.
func (r *retryBudgets) spend(service string, now time.Duration) (retry.Token, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(service).budget.Spend(now)
}

// giveBack returns a token that was spent on a request that was not sent.
func (r *retryBudgets) giveBack(service string, t retry.Token) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).budget.GiveBack(t)
}

// await takes a token. If there is none, it waits until one is claimed from the reserve, at most for maxWait,
// and reports whether it has got one.
func (r *retryBudgets) await(ctx context.Context, service string, maxWait time.Duration) (retry.Token, bool) {
	r.mu.Lock()
	s := r.service(service)
	now := clock.Now()
	if t, ok := s.budget.Spend(now); ok {
		r.mu.Unlock()
		return t, true
	}
	if now < s.deniedUntil || len(s.waiting) >= maxClaimWaiters {
		r.deny(service, s, now)
		r.mu.Unlock()
		return retry.Token{}, false
	}
	granted := make(chan grant, 1)
	s.waiting = append(s.waiting, granted)
	r.requestClaim()
	r.mu.Unlock()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case g := <-granted:
		return g.token, g.ok
	case <-timer.C:
	case <-ctx.Done():
	}
	return r.stopWaiting(service, granted)
}

// stopWaiting ends the wait of a request that may just have got a token.
func (r *retryBudgets) stopWaiting(service string, granted chan grant) (retry.Token, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case g := <-granted:
		return g.token, g.ok
	default:
	}
	s := r.service(service)
	s.waiting = slices.DeleteFunc(s.waiting, func(c chan grant) bool { return c == granted })
	r.deny(service, s, clock.Now())
	return retry.Token{}, false
}

// requestClaim has tokens claimed.
func (r *retryBudgets) requestClaim() {
	select {
	case r.needed <- struct{}{}:
	default:
	}
}

// wanted returns the services that need tokens, and how many.
func (r *retryBudgets) wanted() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := make(map[string]int)
	for name, s := range r.services {
		n := len(s.waiting)
		if n == 0 && s.isWanted {
			n = 1
		}
		if n > 0 {
			wanted[name] = n
		}
	}
	return wanted
}

// draw decides what to claim for a service, given the claims that were read from the store.
func (r *retryBudgets) draw(service string, read []retry.Claim, id uint64, wanted int, now time.Duration) ([]retry.Claim, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(service).ledger.Draw(read, id, wanted, now)
}

// nextRoom returns when the reserve of a service, as last read, has room again.
func (r *retryBudgets) nextRoom(service string, now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(service).ledger.NextRoom(now)
}

// grant adds tokens claimed for a service, and gives them to the requests that wait.
func (r *retryBudgets) grant(service string, tokens int, until, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	s.isWanted = false
	s.budget.AddClaim(tokens, until)
	for len(s.waiting) > 0 {
		t, ok := s.budget.Spend(now)
		if !ok {
			r.requestClaim()
			return
		}
		s.waiting[0] <- grant{t, true}
		s.waiting = s.waiting[1:]
	}
}

// refuse tells the requests of a service that wait that there are no tokens, and those that come until then.
func (r *retryBudgets) refuse(service string, until, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	s.deniedUntil, s.isWanted = until, false
	for _, granted := range s.waiting {
		granted <- grant{}
		r.deny(service, s, now)
	}
	s.waiting = nil
}

// deny counts and logs that a request is not sent again for lack of budget. The caller holds the lock.
func (r *retryBudgets) deny(service string, s *serviceRetries, now time.Duration) {
	s.budget.CountDenied()
	if s.loggedAt > 0 && now-s.loggedAt < spentBudgetLogInterval {
		return
	}
	s.loggedAt = now
	stats := s.budget.Stats()
	_ = level.Warn(r.logger).Log("msg", "The retry budget of a service is spent.", "service", service, "requests", stats.Requests,
		"retries", stats.Spent, "claimed", stats.Claimed, "denied", stats.Denied, "left_out_ms", max(s.deniedUntil-now, 0).Milliseconds(),
		"result", result.Label(api.ResultCode_SATURATED))
}

func (r *retryBudgets) dump() []retryBudgetDump {
	r.mu.Lock()
	defer r.mu.Unlock()
	var budgets []retryBudgetDump
	for service, s := range r.services {
		stats := s.budget.Stats()
		budgets = append(budgets, retryBudgetDump{service, stats.Requests, stats.Spent, stats.Denied, stats.Claimed})
	}
	slices.SortFunc(budgets, func(a, b retryBudgetDump) int { return cmp.Compare(a.Service, b.Service) })
	return budgets
}
