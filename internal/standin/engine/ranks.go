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
	// pastSteps is how far back the ranges given are told.
	pastSteps = 64
	// fabricRetry is the wait after the fabric did not answer.
	fabricRetry = 20 * time.Millisecond
	// firstMap is the map version loaded at the start.
	firstMap = 1
)

// RankConfig places the engine's ranks in a group.
type RankConfig struct {
	Group string
	First int
	Ranks int
	Size  int
	// Step is the least time of one step.
	Step time.Duration
}

// StepRange says that the steps from Start up to but without End run under a map.
type StepRange struct {
	Start uint64 `json:"start"`
	End   uint64 `json:"end"`
	Map   uint64 `json:"map_version"`
}

// MapState is the answer of GET /engine/map. Step is the next one to run.
type MapState struct {
	Group     string      `json:"group"`
	FirstRank int         `json:"first_rank"`
	Ranks     int         `json:"ranks"`
	Loaded    []uint64    `json:"loaded"`
	Given     []StepRange `json:"given"`
	Step      uint64      `json:"step"`
	Links     int         `json:"links"`
	// Fence is the highest one seen; 0 when fences are not checked.
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

// ranks runs the steps that it was given and no other.
type ranks struct {
	web.Watched
	config   RankConfig
	platform string
	state    MapState
	maps     []MapOrder // as they were loaded
}

func newRanks(config RankConfig, platform string) *ranks {
	state := MapState{Group: config.Group, FirstRank: config.First, Ranks: config.Ranks}
	state.Loaded, state.Given = []uint64{firstMap}, []StepRange{}
	return &ranks{config: config, platform: platform, state: state}
}

// fetch takes weights from the weight store, at the store's rate.
func (r *ranks) fetch(name string, size int64) error {
	answer, err := http.Get(fmt.Sprintf("%s/weights/%s?bytes=%d", r.platform, name, size))
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	defer answer.Body.Close()
	got, err := io.Copy(io.Discard, answer.Body)
	if err != nil || got != size {
		return errors.Errorf("weights cut short: %d of %d bytes", got, size)
	}
	return nil
}

// lay puts a range over the others and lets go of those long past.
func (r *ranks) lay(g StepRange) {
	kept := []StepRange{g}
	for _, old := range r.state.Given {
		if end := min(old.End, g.Start); old.Start < end && end+pastSteps > r.state.Step {
			kept = append(kept, StepRange{old.Start, end, old.Map})
		}
		if start := max(old.Start, g.End); start < old.End {
			kept = append(kept, StepRange{start, old.End, old.Map})
		}
	}
	slices.SortFunc(kept, func(a, b StepRange) int { return int(a.Start) - int(b.Start) })
	r.state.Given = kept
}

// next waits until the next step was given and returns it with its map.
func (r *ranks) next() platform.Arrival {
	a := platform.Arrival{Size: r.config.Size}
	a.FirstRank, a.Ranks = r.config.First, r.config.Ranks
	_ = r.Until(context.Background(), func() bool {
		a.Step = r.state.Step
		at := slices.IndexFunc(r.state.Given, func(g StepRange) bool { return g.Start <= a.Step && a.Step < g.End })
		if at >= 0 {
			a.Map = r.state.Given[at].Map
		}
		return at >= 0
	})
	return a
}

// run goes from step to step, in lock-step with the other ranks of the group.
func (r *ranks) run() {
	for !r.meet(http.MethodGet, "record?last=0", nil) {
		time.Sleep(fabricRetry)
	}
	for {
		arrival, _ := json.Marshal(r.next())
		if !r.meet(http.MethodPost, "arrive", arrival) {
			time.Sleep(fabricRetry)
		}
		time.Sleep(r.config.Step)
	}
}

// meet asks the fabric and moves to the group's next step.
func (r *ranks) meet(method, what string, body []byte) bool {
	url := r.platform + "/fabric/" + r.config.Group + "/" + what
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var group platform.FabricRecord
	if answer.StatusCode != http.StatusOK || json.NewDecoder(answer.Body).Decode(&group) != nil {
		return false
	}
	r.Do(func() { r.state.Step = group.Next })
	return true
}

// showMap answers only when the connections of earlier givers were seen closed: an
// order of theirs that was still on its way counts among the ranges given.
func (e *engine) showMap(r *http.Request, _ web.None) (state MapState, err error) {
	links, err := e.orders.alone(r)
	e.ranks.Do(func() {
		state = e.ranks.state
		state.Loaded = slices.Clone(state.Loaded)
	})
	state.Links = links
	state.Fence = e.orders.highest()
	return state, err
}

func (e *engine) loadMap(_ *http.Request, load MapOrder) (web.None, error) {
	err := e.ranks.fetch(fmt.Sprint("map-", load.Version), load.Bytes)
	e.ranks.Do(func() {
		if err == nil && !slices.Contains(e.ranks.state.Loaded, load.Version) {
			e.ranks.state.Loaded = append(e.ranks.state.Loaded, load.Version)
			e.ranks.maps = append(e.ranks.maps, load)
		}
	})
	return web.None{}, err
}

// giveMap takes ranges; a newer one stands over the steps of older ones. Maps that
// are not loaded are refused.
func (e *engine) giveMap(r *http.Request, give MapOrder) (_ web.None, err error) {
	if err := e.orders.obey(r, give.Fence); err != nil {
		return web.None{}, err
	}
	e.ranks.Do(func() {
		for _, g := range give.Ranges {
			if !slices.Contains(e.ranks.state.Loaded, g.Map) {
				err = web.Refuse(http.StatusConflict, fmt.Sprintf("map %d is not loaded", g.Map))
				return
			}
			e.ranks.lay(g)
		}
	})
	return web.None{}, err
}
