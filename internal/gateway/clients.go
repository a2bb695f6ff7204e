package gateway

import (
	"net/http"
	"time"

	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/httpguard"
	"github.com/apricothub/apricothub/internal/logging"
)

// Limits on a caller's connection if the configuration sets none.
const (
	defaultHeaderBytes = bounded.MaxHeaderBytes
	defaultHeaderTime  = 5 * time.Second
	defaultIdleTime    = time.Minute
	// arrivalMargin is added to the limits in time: what a caller sends in time may arrive late.
	arrivalMargin = time.Second
	// writeTime limits the time from a header to the end of the answer to others than callers. For callers it is the
	// time of a refusal, which may come after a body.
	writeTime       = 10 * time.Second
	callerWriteTime = maxBodyTime + writeTime
)

// Parts of the memory of the VM. What is left is for the rest of the process, and for garbage until it is collected.
const (
	callersMemory   = 0.2
	answersMemory   = 0.08
	directoryMemory = 1.0 / 32
	readinessMemory = 1.0 / 64
	entriesMemory   = 1.0 / 32
	adminMemory     = 1.0 / 32
)

// Parts of the sockets of the process. What is left is for backend servers, of which each request in flight needs one,
// for the store and for other entries.
const (
	callersSockets   = 3.0 / 8
	directorySockets = 1.0 / 8
	readinessSockets = 1.0 / 24
	entriesSockets   = 1.0 / 24
	adminSockets     = 1.0 / 24
)

// What a handler holds for a request on average, in bytes.
const (
	callerRequestBytes = 8 << 10
	shortAnswerBytes   = 8 << 10
	// stateAnswerBytes is a part of the records of the store, dumpBytes the state of the process.
	stateAnswerBytes = 64 << 10
	dumpBytes        = 512 << 10
)

// clientBounds are the bounds on the clients of one listener.
type clientBounds struct {
	memory, sockets float64
	requestBytes    int64
	writeTime       time.Duration
	limits          func() httpguard.Limits
}

func (g *Gateway) newGuard(name string, b clientBounds) *httpguard.Guard {
	return httpguard.New(httpguard.Options{
		Name: name, Connections: g.resources.Descriptors(b.sockets), Bytes: g.resources.Memory(b.memory),
		RequestBytes: b.requestBytes, WriteTime: b.writeTime, Limits: b.limits,
		Logger: logging.Part(g.logger, name), Registry: g.metrics.registry,
	})
}

// callerLimits returns the limits of the configuration in force.
func (g *Gateway) callerLimits() httpguard.Limits {
	limits := httpguard.Limits{
		HeaderBytes: defaultHeaderBytes, HeaderTime: defaultHeaderTime, IdleTime: defaultIdleTime, BodyTime: maxBodyTime,
	}
	v := g.view.Load()
	if v == nil || v.table == nil {
		return limits
	}
	configured := v.table.Limits
	if configured.HeaderBytes > 0 {
		limits.HeaderBytes = int64(configured.HeaderBytes)
	}
	if configured.HeaderTimeout > 0 {
		limits.HeaderTime = configured.HeaderTimeout + arrivalMargin
	}
	if configured.IdleTimeout > 0 {
		limits.IdleTime = configured.IdleTimeout + arrivalMargin
	}
	return limits
}

// endpoint is one address that the process listens on.
type endpoint struct {
	name, address string
	handler       http.Handler
	bounds        clientBounds
}
