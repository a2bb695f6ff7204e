package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/coord/registry"
)

// recordRest records that a server asks for rest in an answer; zero for none.
func (f *fleet) recordRest(answered registry.Server, rest time.Duration) {
	if rest == 0 {
		return
	}
	_ = level.Info(f.logger).Log("msg", "A backend server asks for rest.", "server", answered.ID, "service", answered.Service,
		"failure_domain", answered.FailureDomain, "rest_ms", rest.Milliseconds())
}
