// Package platform is the stand-in for the platform: the append-only log, the delayed list of VMs,
// the rate-limited weight store, and the fabric that keeps a group's ranks in lock-step.
// docs/STANDINS.md describes its HTTP interface.
package platform

import (
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"

	"github.com/apricothub/apricothub/internal/standin/web"
)

const (
	// weightChunkBytes is the size of the chunks that the weight store sends.
	weightChunkBytes = 64 << 10
	// weightBytesPerSecond limits the weight store over all its readers.
	weightBytesPerSecond = 64 << 20
)

// VM is an item of the list of VMs.
type VM struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Link          string `json:"link"`
	Public        string `json:"public,omitempty"`
	Group         string `json:"group"`
	State         string `json:"state"`
	Region        string `json:"region,omitempty"`
	Offer         string `json:"offer,omitempty"`
}

// VMChange is the body of PUT /control/vms: the whole list, or one VM to put or delete. In the
// response of GET /vms only the list is set.
type VMChange struct {
	VMs    []VM   `json:"vms"`
	Put    *VM    `json:"put,omitempty"`
	Delete string `json:"delete,omitempty"`
}

// ControlRequest is the body of the other control requests, each of which uses some of the fields.
// Those for the log apply to one stream, or without a stream name to all streams, among them the
// unnamed one of the configuration.
type ControlRequest struct {
	Stream  string `json:"stream,omitempty"`
	Mode    string `json:"mode,omitempty"`
	DelayMS int64  `json:"delay_ms,omitempty"`
	Records int64  `json:"records"`
	MS      int64  `json:"ms,omitempty"`
}

// vmListVersion is the list of VMs as it was from validFrom on.
type vmListVersion struct {
	validFrom time.Time
	vms       []VM
}

// vmList keeps all versions, so that callers can be shown an old one.
type vmList struct {
	web.Monitor
	lag      time.Duration
	versions []vmListVersion
}

// Run serves until the process receives SIGTERM or SIGINT.
func Run(listen string, logger log.Logger) error {
	streams := newStreams()
	vms := &vmList{versions: []vmListVersion{{vms: []VM{}}}}
	fabric := &fabric{barriers: map[string]*stepBarrier{}}
	weights := rate.NewLimiter(weightBytesPerSecond, weightChunkBytes)

	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/records", web.JSONHandler(streams.append))
	mux.HandleFunc("GET /log/records", web.JSONHandler(streams.read))
	mux.HandleFunc("POST /log/streams/{stream}/records", web.JSONHandler(streams.append))
	mux.HandleFunc("GET /log/streams/{stream}/records", web.JSONHandler(streams.read))
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		web.RespondWithETag(w, r, vms.visible())
	})
	mux.HandleFunc("POST /fabric/{group}/arrive", web.JSONHandler(fabric.arrive))
	mux.HandleFunc("GET /fabric/{group}/record", web.JSONHandler(fabric.record))
	mux.HandleFunc("GET /weights/{name}", func(w http.ResponseWriter, r *http.Request) {
		sendWeights(w, r, weights)
	})
	mux.HandleFunc("PUT /control/vms", web.SetHandler(vms.change))
	mux.HandleFunc("POST /control/vms_lag", web.SetHandler(func(c ControlRequest) {
		vms.WithLock(func() { vms.lag = web.Millis(c.MS) })
	}))
	mux.HandleFunc("POST /control/log", web.SetHandler(streams.setMode))
	mux.HandleFunc("POST /control/retention", web.SetHandler(streams.setRetention))
	return web.Serve(listen, &http.Server{Handler: mux}, logger)
}

func (l *vmList) change(c VMChange) {
	l.WithLock(func() {
		if c.VMs == nil {
			c.VMs = slices.Clone(l.versions[len(l.versions)-1].vms)
		}
		if c.Put != nil {
			c.Delete = c.Put.ID
		}
		c.VMs = slices.DeleteFunc(c.VMs, func(vm VM) bool { return vm.ID == c.Delete })
		if c.Put != nil {
			c.VMs = append(c.VMs, *c.Put)
		}
		l.versions = append(l.versions, vmListVersion{time.Now(), c.VMs})
	})
}

func (l *vmList) visible() (shown VMChange) {
	l.WithLock(func() {
		for i, v := range l.versions {
			if i == 0 || time.Since(v.validFrom) >= l.lag {
				shown.VMs = v.vms
			}
		}
	})
	return shown
}

func sendWeights(w http.ResponseWriter, r *http.Request, limiter *rate.Limiter) {
	var chunk [weightChunkBytes]byte
	for left := web.QueryInt(r, "bytes", weightChunkBytes); left > 0; left -= weightChunkBytes {
		n := min(left, weightChunkBytes)
		if limiter.WaitN(r.Context(), int(n)) != nil {
			return
		}
		_, _ = w.Write(chunk[:n])
	}
}
