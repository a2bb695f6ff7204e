package engine

import (
	"net/http"
	"slices"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// weightSetBytes is the size of the weights of a model or an adapter. One engine alone reads them
// in half a second.
const weightSetBytes = 32 << 20

// LoadOrder is the body of POST /engine/orders.
type LoadOrder struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

// HeldWeights is the response of GET /engine/version: the model version and the adapters that are
// loaded.
type HeldWeights struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// CompletedLoad is an order that was carried out. Running is the number of running requests when it
// arrived.
type CompletedLoad struct {
	LoadOrder
	Running int   `json:"running"`
	BeginMS int64 `json:"begin_ms"`
	EndMS   int64 `json:"end_ms"`
}

func (e *engine) showHeldWeights() (held HeldWeights) {
	e.WithLock(func() { held = HeldWeights{e.heldWeights.Version, slices.Clone(e.heldWeights.Adapters)} })
	return held
}

// loadWeights loads an adapter or a model version. A new model version unloads all adapters.
func (e *engine) loadWeights(r *http.Request, order LoadOrder) (web.NoBody, error) {
	if err := e.orderState.acceptOrder(r, order.Fence); err != nil {
		return web.NoBody{}, err
	}
	load := CompletedLoad{LoadOrder: order, Running: e.coldStart.snapshot().Running, BeginMS: web.NowMS()}
	if err := e.ranks.fetchWeights(order.Model, weightSetBytes); err != nil {
		return web.NoBody{}, err
	}
	load.EndMS = web.NowMS()
	e.WithLock(func() {
		e.completedLoads = append(e.completedLoads, load)
		if order.Kind == "load_adapter" {
			e.heldWeights.Adapters = append(e.heldWeights.Adapters, order.Adapter)
			return
		}
		e.heldWeights = HeldWeights{Version: order.Version}
		if e.config.Cold.Limit > 0 {
			e.coldStart.turnCold(0)
			e.loadReport.Cold = true
		}
	})
	return web.NoBody{}, nil
}
