package entry

import (
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/internal/httpguard"
	"github.com/apricothub/apricothub/internal/resources"
)

// Parts of the memory of the VM and of the sockets of the process. What is left of the sockets is for the links that
// this entry opens itself, for the admin address and for the platform.
const (
	callersMemory, callersSockets = 1.0 / 4, 3.0 / 8
	linksMemory, linksSockets     = 1.0 / 8, 3.0 / 16
)

// callerRequestBytes is what a request holds on average, without its header and body.
const callerRequestBytes = 16 << 10

// newCallersGuard returns the guard of the listener for callers.
func (e *entry) newCallersGuard(available resources.Resources) *httpguard.Guard {
	l := e.settings.GetLimits()
	millis := func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
	limits := httpguard.Limits{
		HeaderBytes: l.GetHeaderBytes(), HeaderTime: millis(l.GetReadHeaderMs()), BodyTime: millis(l.GetReadBodyMs()), IdleTime: millis(l.GetIdleMs()),
	}
	return httpguard.New(httpguard.Options{
		Name: "callers", Connections: min(int(l.GetConnections()), available.Descriptors(callersSockets)), Bytes: available.Memory(callersMemory),
		RequestBytes: callerRequestBytes, WriteTime: writeTimeout, Logger: e.logger, Registry: e.registry,
		Limits: func() httpguard.Limits { return limits },
	})
}

// newLinksGuard returns the guard of the listener for links.
func newLinksGuard(available resources.Resources, logger log.Logger, registry metrics.Registry) *httpguard.Guard {
	return httpguard.New(httpguard.Options{
		Name: "links", Connections: available.Descriptors(linksSockets), Bytes: available.Memory(linksMemory), Logger: logger, Registry: registry,
	})
}
