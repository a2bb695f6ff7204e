package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/standin/platform"
	"github.com/apricothub/apricothub/internal/standin/web"
)

const (
	// retainedPastSteps is the number of past steps for which ranges are kept and reported.
	retainedPastSteps = 64
	// fabricRetryInterval is the wait before another call to a fabric that did not answer.
	fabricRetryInterval = 20 * time.Millisecond
	// initialMap is the version of the map that is loaded at the start.
	initialMap = 1
)

// RankConfig places the engine's ranks in a group.
type RankConfig struct {
	Group     string
	FirstRank int
	Ranks     int
	GroupSize int
	// MinStepTime is the minimum time of a step.
	MinStepTime time.Duration
}

// StepRange is a range of steps, from Start up to and excluding End, that run with one map.
type StepRange struct {
	Start uint64 `json:"start"`
	End   uint64 `json:"end"`
	Map   uint64 `json:"map_version"`
}

// MapState is the response of GET /engine/map. Step is the next step to run. Connections is the
// number of open connections of the caller.
type MapState struct {
	Group       string      `json:"group"`
	FirstRank   int         `json:"first_rank"`
	Ranks       int         `json:"ranks"`
	Loaded      []uint64    `json:"loaded"`
	Given       []StepRange `json:"given"`
	Step        uint64      `json:"step"`
	Connections int         `json:"links"`
	// Fence is the highest fence seen; 0 if fences are not checked.
	Fence uint64 `json:"fence"`
}

// MapOrder is the body of POST /engine/map/load and of POST /engine/map/give.
type MapOrder struct {
	Version uint64      `json:"version,omitempty"`
	Bytes   int64       `json:"bytes,omitempty"`
	Slots   []int32     `json:"slots,omitempty"`
	Fence   uint64      `json:"fence,omitempty"`
	Ranges  []StepRange `json:"ranges,omitempty"`
}

// ranks runs the engine's ranks. They run only the steps that a map was given for.
type ranks struct {
	web.Monitor
	config   RankConfig
	platform string
	state    MapState
	maps     []MapOrder // in the order of loading
}

func newRanks(config RankConfig, platform string) *ranks {
	state := MapState{Group: config.Group, FirstRank: config.FirstRank, Ranks: config.Ranks}
	state.Loaded, state.Given = []uint64{initialMap}, []StepRange{}
	return &ranks{config: config, platform: platform, state: state}
}

// fetchWeights reads weights from the weight store at the store's rate.
func (r *ranks) fetchWeights(name string, size int64) error {
	answer, err := http.Get(fmt.Sprintf("%s/weights/%s?bytes=%d", r.platform, name, size))
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	defer answer.Body.Close()
	received, err := io.Copy(io.Discard, answer.Body)
	if err != nil || received != size {
		return errors.Errorf("weights cut short: %d of %d bytes", received, size)
	}
	return nil
}

// overlay gives a range precedence over the existing ranges and drops those that lie too far in the
// past.
func (r *ranks) overlay(added StepRange) {
	kept := []StepRange{added}
	for _, old := range r.state.Given {
		if end := min(old.End, added.Start); old.Start < end && end+retainedPastSteps > r.state.Step {
			kept = append(kept, StepRange{old.Start, end, old.Map})
		}
		if start := max(old.Start, added.End); start < old.End {
			kept = append(kept, StepRange{start, old.End, old.Map})
		}
	}
	slices.SortFunc(kept, func(a, b StepRange) int { return int(a.Start) - int(b.Start) })
	r.state.Given = kept
}

// waitNextStep waits until a map is given for the next step and returns both.
func (r *ranks) waitNextStep() platform.Arrival {
	a := platform.Arrival{Size: r.config.GroupSize}
	a.FirstRank, a.Ranks = r.config.FirstRank, r.config.Ranks
	_ = r.WaitUntil(context.Background(), func() bool {
		a.Step = r.state.Step
		index := slices.IndexFunc(r.state.Given, func(g StepRange) bool { return g.Start <= a.Step && a.Step < g.End })
		if index >= 0 {
			a.Map = r.state.Given[index].Map
		}
		return index >= 0
	})
	return a
}

// runSteps runs step after step, in lock-step with the other ranks of the group.
func (r *ranks) runSteps() {
	for !r.callFabric(http.MethodGet, "record?last=0", nil) {
		time.Sleep(fabricRetryInterval)
	}
	for {
		arrival, _ := json.Marshal(r.waitNextStep())
		if !r.callFabric(http.MethodPost, "arrive", arrival) {
			time.Sleep(fabricRetryInterval)
		}
		time.Sleep(r.config.MinStepTime)
	}
}

// callFabric sends a request to the fabric and advances to the group's next step.
func (r *ranks) callFabric(method, path string, body []byte) bool {
	url := r.platform + "/fabric/" + r.config.Group + "/" + path
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var record platform.FabricRecord
	if answer.StatusCode != http.StatusOK || json.NewDecoder(answer.Body).Decode(&record) != nil {
		return false
	}
	r.WithLock(func() { r.state.Step = record.Next })
	return true
}

// showMap responds once the connections of all other senders have closed, or with an error if they
// stay open. The reported ranges thus include orders of theirs that were still in transit.
func (e *engine) showMap(r *http.Request, _ web.NoBody) (state MapState, err error) {
	connections, err := e.orderState.waitExclusive(r)
	e.ranks.WithLock(func() {
		state = e.ranks.state
		state.Loaded = slices.Clone(state.Loaded)
	})
	state.Connections = connections
	state.Fence = e.orderState.highestFence()
	return state, err
}

func (e *engine) loadMap(_ *http.Request, order MapOrder) (web.NoBody, error) {
	err := e.ranks.fetchWeights(fmt.Sprint("map-", order.Version), order.Bytes)
	e.ranks.WithLock(func() {
		if err == nil && !slices.Contains(e.ranks.state.Loaded, order.Version) {
			e.ranks.state.Loaded = append(e.ranks.state.Loaded, order.Version)
			e.ranks.maps = append(e.ranks.maps, order)
		}
	})
	return web.NoBody{}, err
}

// giveMap adds ranges of steps. New ranges replace older ones for the same steps. Maps that are not
// loaded are refused.
func (e *engine) giveMap(r *http.Request, order MapOrder) (_ web.NoBody, err error) {
	if err := e.orderState.acceptOrder(r, order.Fence); err != nil {
		return web.NoBody{}, err
	}
	e.ranks.WithLock(func() {
		for _, g := range order.Ranges {
			if !slices.Contains(e.ranks.state.Loaded, g.Map) {
				err = web.Refuse(http.StatusConflict, fmt.Sprintf("map %d is not loaded", g.Map))
				return
			}
			e.ranks.overlay(g)
		}
	})
	return web.NoBody{}, err
}
