// Package platform plays the platform: the append-only log, the lagging list of
// VMs, the rate-limited weight store, and the fabric on which the ranks of a group
// meet. docs/STANDINS.md describes its HTTP interface.
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
	// weightChunk is the unit in which the weight store sends, in bytes.
	weightChunk = 64 << 10
	// weightRate bounds the weight store over all readers, in bytes a second.
	weightRate = 64 << 20
)

// VM is one line of the list of VMs.
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

// VMChange is the body of PUT /control/vms: the whole list, or one VM put or
// deleted. The list alone is the answer of GET /vms.
type VMChange struct {
	VMs    []VM   `json:"vms"`
	Put    *VM    `json:"put,omitempty"`
	Delete string `json:"delete,omitempty"`
}

// Control is the body of the other controls, each with fields of its own. Those of the
// log are for one stream, or for the configuration's and all others.
type Control struct {
	Stream  string `json:"stream,omitempty"`
	Mode    string `json:"mode,omitempty"`
	DelayMS int64  `json:"delay_ms,omitempty"`
	Records int64  `json:"records"`
	MS      int64  `json:"ms,omitempty"`
}

// version is the list of VMs as it stood from one moment on.
type version struct {
	since time.Time
	vms   []VM
}

// vmList keeps all versions, so that an old one can be shown.
type vmList struct {
	web.Watched
	lag      time.Duration
	versions []version
}

// Run serves until the process is told to stop.
func Run(listen string, logger log.Logger) error {
	streams := newStreams()
	vms := &vmList{versions: []version{{vms: []VM{}}}}
	fabric := &fabric{groups: map[string]*meeting{}}
	weights := rate.NewLimiter(weightRate, weightChunk)

	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/records", web.Call(streams.append))
	mux.HandleFunc("GET /log/records", web.Call(streams.read))
	mux.HandleFunc("POST /log/streams/{stream}/records", web.Call(streams.append))
	mux.HandleFunc("GET /log/streams/{stream}/records", web.Call(streams.read))
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		web.AnswerTagged(w, r, vms.list())
	})
	mux.HandleFunc("POST /fabric/{group}/arrive", web.Call(fabric.arrive))
	mux.HandleFunc("GET /fabric/{group}/record", web.Call(fabric.record))
	mux.HandleFunc("GET /weights/{name}", func(w http.ResponseWriter, r *http.Request) {
		sendWeights(w, r, weights)
	})
	mux.HandleFunc("PUT /control/vms", web.Set(vms.change))
	mux.HandleFunc("POST /control/vms_lag", web.Set(func(c Control) {
		vms.Do(func() { vms.lag = web.Millis(c.MS) })
	}))
	mux.HandleFunc("POST /control/log", web.Set(streams.setMode))
	mux.HandleFunc("POST /control/retention", web.Set(streams.setRetention))
	return web.Serve(listen, &http.Server{Handler: mux}, logger)
}

func (l *vmList) change(c VMChange) {
	l.Do(func() {
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
		l.versions = append(l.versions, version{time.Now(), c.VMs})
	})
}

func (l *vmList) list() (shown VMChange) {
	l.Do(func() {
		for i, v := range l.versions {
			if i == 0 || time.Since(v.since) >= l.lag {
				shown.VMs = v.vms
			}
		}
	})
	return shown
}

func sendWeights(w http.ResponseWriter, r *http.Request, limiter *rate.Limiter) {
	var chunk [weightChunk]byte
	for left := web.Number(r, "bytes", weightChunk); left > 0; left -= weightChunk {
		n := min(left, weightChunk)
		if limiter.WaitN(r.Context(), int(n)) != nil {
			return
		}
		_, _ = w.Write(chunk[:n])
	}
}
