package gateway

import (
	"github.com/go-kit/log/level"
)

// recordRateLimit records the limit of requests per second that a server states in an answer; nil for
// none.
func (f *fleet) recordRateLimit(id string, stated *float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	old := s.rateLimit
	s.rateLimit = stated
	switch {
	case stated != nil && (old == nil || *old != *stated):
		_ = level.Info(f.logger).Log("msg", "A backend server limits its requests per second.", "server", s.ID, "service", s.Service,
			"failure_domain", s.FailureDomain, "rate_limit", *stated)
	case stated == nil && old != nil:
		_ = level.Info(f.logger).Log("msg", "A backend server no longer limits its requests per second.", "server", s.ID,
			"service", s.Service, "failure_domain", s.FailureDomain)
	}
}
