package gateway

import (
	"math"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/throttle"
)

// setEntries sets the IPs of the entries that may be running, among which rate limits are divided.
func (f *fleet) setEntries(ips []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rateLimits.SetEntries(ips)
}

// recordRateLimitReports records the limits that another entry reports.
func (f *fleet) recordRateLimitReports(reports []*api.ServerRateLimit, now time.Duration) {
	if len(reports) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range reports {
		report := throttle.Report{
			Server: r.GetServer(), Rate: r.GetRate(), Ended: r.GetEnded(),
			Age: millis(r.GetAgeMs()),
		}
		if s := f.byHash[r.GetServer()]; f.rateLimits.RecordReport(report, now) && s != nil {
			f.logRateLimit(s)
		}
	}
}

// rateLimitReports returns what to report to other entries in the next heartbeat.
func (f *fleet) rateLimitReports(now time.Duration) []*api.ServerRateLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []*api.ServerRateLimit
	for _, r := range f.rateLimits.Reports(now) {
		reports = append(reports, &api.ServerRateLimit{
			Server: r.Server, Rate: r.Rate, Ended: r.Ended, AgeMs: uint32(r.Age.Milliseconds()),
		})
	}
	return reports
}

// logRateLimit logs the limit of a server after it has changed. The caller holds the lock.
func (f *fleet) logRateLimit(s *server) {
	if rate, limited := f.rateLimits.Rate(s.hash); limited {
		_ = level.Info(f.logger).Log("msg", "A backend server limits its requests per second.", "server", s.ID, "service", s.Service,
			"failure_domain", s.FailureDomain, "rate_limit", rate)
		return
	}
	_ = level.Info(f.logger).Log("msg", "A backend server no longer limits its requests per second.", "server", s.ID,
		"service", s.Service, "failure_domain", s.FailureDomain)
}

// isThrottled reports whether this entry may send a server nothing now because of its rate limit. The
// caller holds the lock.
func (f *fleet) isThrottled(s *server, now time.Duration) bool {
	if _, limited := f.rateLimits.Rate(s.hash); !limited {
		return false
	}
	perSecond, next := f.rateLimits.Share(s.hash, now)
	return perSecond == 0 || next > 0
}

// throttledSlots returns how many requests a server with a rate limit has in flight at that rate, and
// false if it has no limit. The caller holds the lock.
//
// Requests would otherwise be admitted for slots that no entry may use, and be refused only after their
// wait.
func (f *fleet) throttledSlots(s *server) (int, bool) {
	rate, limited := f.rateLimits.Rate(s.hash)
	if !limited {
		return 0, false
	}
	return 1 + int(math.Ceil(min(rate*s.workTime.Seconds(), float64(s.Concurrency)))), true
}
