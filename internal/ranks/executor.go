package ranks

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/platform"
)

// maxKnownMaps is the number of maps that an Executor keeps: the one in use, the next one, and one
// that was given up in between.
const maxKnownMaps = 3

// Executor executes requests at one engine for coordinators. It keeps the latest maps and counts
// that it has passed on, so that coordinators need not send and receive them whole. It holds
// nothing that cannot be sent again. It is safe for concurrent use.
type Executor struct {
	engine *platform.Engine

	mu sync.Mutex
	// maps holds the latest maps, the most recently used one last.
	maps []knownMap
	// countsID identifies the counts of the last reply that had any.
	countsID uint64
	counts   []int64
}

type knownMap struct {
	version int64
	layers  layers
}

// NewExecutor returns an Executor for an engine.
func NewExecutor(engine *platform.Engine) *Executor { return &Executor{engine: engine} }

// Execute does what [Execute] does, for requests whose order may tell only the changes of a map, and
// with a reply that may tell only the changes of the counts.
func (x *Executor) Execute(ctx context.Context, req *api.RankRequest) *api.RankReply {
	needsMap := false
	if o := req.GetOrder(); o != nil && o.GetKind() == api.RankOrder_PREPARE {
		m, ok := x.mapOf(o)
		if ok {
			req = withMap(req, m)
		} else {
			needsMap = true
			req = &api.RankRequest{Counts: req.GetCounts(), Experts: req.GetExperts(), CountsBase: req.GetCountsBase()}
		}
	}
	reply := Execute(ctx, x.engine, req)
	reply.NeedsMap = needsMap
	if len(reply.GetCounts()) > 0 {
		x.compactCounts(reply, req.GetCountsBase())
	}
	return reply
}

// withMap returns the request with the whole map in its order.
func withMap(req *api.RankRequest, m layers) *api.RankRequest {
	o := req.GetOrder()
	return &api.RankRequest{
		Counts: req.GetCounts(), Experts: req.GetExperts(), CountsBase: req.GetCountsBase(),
		Order: &api.RankOrder{
			Kind: o.GetKind(), Version: o.GetVersion(), Step: o.GetStep(), Epoch: o.GetEpoch(), Fence: o.GetFence(), Map: mapToWire(m),
		},
	}
}

// mapOf returns the map that an order tells, and keeps it. It returns false if the order tells
// changes of a map that is not known.
func (x *Executor) mapOf(o *api.RankOrder) (layers, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(o.GetMap()) > 0 {
		m := sortedMap(mapFromWire(o.GetMap()))
		x.keep(knownMap{o.GetVersion(), m})
		return m, true
	}
	base, ok := x.baseOf(o)
	if !ok {
		return nil, false
	}
	m, err := applyChanges(base, o.GetChanges())
	if err != nil || mapHash(m) != o.GetMapHash() {
		return nil, false
	}
	x.keep(knownMap{o.GetVersion(), m})
	return m, true
}

// baseOf returns the map that the changes of an order apply to. The caller holds the lock.
func (x *Executor) baseOf(o *api.RankOrder) (layers, bool) {
	if o.GetDealt() != nil {
		return dealtMap(o.GetDealt())
	}
	i := slices.IndexFunc(x.maps, func(k knownMap) bool { return k.version == o.GetBase() })
	if i < 0 {
		return nil, false
	}
	base := x.maps[i]
	x.keep(base)
	return base.layers, true
}

// keep makes a map the most recently used one. The caller holds the lock.
func (x *Executor) keep(m knownMap) {
	x.maps = slices.DeleteFunc(x.maps, func(k knownMap) bool { return k.version == m.version })
	x.maps = append(x.maps, m)
	if len(x.maps) > maxKnownMaps {
		x.maps = slices.Delete(x.maps, 0, 1)
	}
}

// compactCounts replaces the counts in a reply by their changes if the coordinator holds the counts
// of the last reply.
func (x *Executor) compactCounts(reply *api.RankReply, base uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	counts := reply.GetCounts()
	if base != 0 && base == x.countsID && encodeCountChanges(reply, x.counts, counts) {
		reply.Counts = nil
	}
	// Random, so that a restarted rank agent never takes a coordinator's base for its own.
	x.countsID, x.counts = max(rand.Uint64(), 1), counts
	reply.CountsId = x.countsID
}
