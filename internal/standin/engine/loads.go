package engine

import (
	"net/http"
	"slices"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// weightBytes is the size of a model's and of an adapter's weights: half a second's
// reading by one engine alone.
const weightBytes = 32 << 20

// LoadOrder is the body of POST /engine/orders.
type LoadOrder struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

// Held is the answer of GET /engine/version.
type Held struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// Loaded is one order carried out; Running is the work under way when it came.
type Loaded struct {
	LoadOrder
	Running int   `json:"running"`
	BeginMS int64 `json:"begin_ms"`
	EndMS   int64 `json:"end_ms"`
}

func (e *engine) showHeld() (held Held) {
	e.Do(func() { held = Held{e.held.Version, slices.Clone(e.held.Adapters)} })
	return held
}

// carryOut loads a version, which lets go of the adapters, or one adapter.
func (e *engine) carryOut(r *http.Request, order LoadOrder) (web.None, error) {
	if err := e.orders.obey(r, order.Fence); err != nil {
		return web.None{}, err
	}
	done := Loaded{LoadOrder: order, Running: e.warmth.now().Running, BeginMS: web.NowMS()}
	if err := e.ranks.fetch(order.Model, weightBytes); err != nil {
		return web.None{}, err
	}
	done.EndMS = web.NowMS()
	e.Do(func() {
		e.loads = append(e.loads, done)
		if order.Kind == "load_adapter" {
			e.held.Adapters = append(e.held.Adapters, order.Adapter)
			return
		}
		e.held = Held{Version: order.Version}
		if e.config.Cold.Limit > 0 {
			e.warmth.turnCold(0)
			e.load.Cold = true
		}
	})
	return web.None{}, nil
}
