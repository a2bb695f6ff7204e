package gateway

import (
	"hash/fnv"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/platform"
)

const (
	// maxAddresses limits the entries named to one caller.
	maxAddresses = 64
	// addressTTL is how long callers keep an answer. It is short, since callers go on connecting to
	// an entry that has died for as long, and an answer costs little.
	addressTTL = 2 * time.Second
)

// serveResolve answers a caller that asks where to connect.
func (g *Gateway) serveResolve(w http.ResponseWriter, r *http.Request) {
	v := g.view.Load()
	if v == nil || len(v.addresses) == 0 {
		result.WriteHTTP(w, result.New(api.ResultCode_STARTING))
		return
	}
	q := platform.ReadResolveRequest(r.URL.Query())
	ttl := addressTTL
	if limit := g.settings.Bounds.AddressTTL; limit > 0 {
		ttl = min(ttl, limit)
	}
	if err := platform.WriteResolveResponse(w, addressesFor(v.addresses, r.RemoteAddr), ttl); err != nil {
		_ = level.Debug(g.logger).Log("msg", "The list of addresses could not be sent to a caller.", "host", q.Host, "err", err,
			"result", result.Label(api.ResultCode_ANSWER_BROKEN))
	}
}

// addressesFor returns the addresses for one caller: all of them if they are few, or else a subset
// that differs between callers, so that one dead entry affects few of them.
func addressesFor(addresses []string, caller string) []string {
	if len(addresses) <= maxAddresses {
		return addresses
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(caller))
	start := int(sum.Sum32() % uint32(len(addresses)))
	subset := make([]string, 0, maxAddresses)
	for i := range maxAddresses {
		subset = append(subset, addresses[(start+i)%len(addresses)])
	}
	return subset
}

// serveReady answers the platform's readiness probe.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if v := g.view.Load(); v == nil || !v.ready || g.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
