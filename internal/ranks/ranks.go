// Package ranks sends requests about expert maps to the engines of a lock-step group: through the
// rank agent on each engine's VM, or to the engine itself while the rank agent does not answer.
package ranks

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/mapswitch"
	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/platform"
)

// RequestPath is the HTTP path at which rank agents take requests.
const RequestPath = "/rank"

// AlivePath is the HTTP path at which rank agents report only that their VM is up.
const AlivePath = "/alive"

// maxReplyBytes limits the size of a reply.
const maxReplyBytes = 4 << 20

// Execute sends the order of a request to an engine, then reads the state and whatever else the
// request asks for. The reply carries the first error and whatever could be read.
func Execute(ctx context.Context, engine *platform.Engine, req *api.RankRequest) *api.RankReply {
	reply := &api.RankReply{}
	fail := func(err error) {
		if reply.GetError() == "" {
			reply.Error = err.Error()
		}
	}
	if o := req.GetOrder(); o != nil {
		orderResult, err := SendOrder(ctx, engine, o)
		if err != nil {
			fail(err)
		}
		reply.Result = orderResult
	}
	report, err := engine.Report(ctx)
	if err != nil {
		fail(err)
		return reply
	}
	reply.State = stateToWire(report)
	if req.GetCounts() {
		if reply.Counts, err = engine.Counts(ctx); err != nil {
			fail(err)
		}
	}
	if req.GetExperts() {
		version, sets, err := engine.Experts(ctx)
		if err != nil {
			fail(err)
			return reply
		}
		reply.ExpertsVersion = version
		for _, experts := range sets {
			reply.Experts = append(reply.Experts, &api.RankExperts{Experts: experts})
		}
	}
	return reply
}

// SendOrder sends an order to an engine and reads no state.
//
// It waits for the answer no longer than platform.OrderTimeout. Engines may leave orders unanswered,
// and waiting longer would use up the time in which the rank's state can still be read.
func SendOrder(ctx context.Context, engine *platform.Engine, o *api.RankOrder) (api.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.OrderTimeout)
	defer cancel()
	orderResult, err := engine.Order(ctx, orderFromWire(o))
	return resultToWire[orderResult], err
}

// AgentAddress returns the address of an engine's rank agent: on the engine's VM, at the port that
// all processes of the system listen on.
func AgentAddress(engineAddress string, port int) (string, error) {
	host, _, err := net.SplitHostPort(engineAddress)
	if err != nil {
		return "", errors.Wrap(err, "split engine address")
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}

// CallAgent sends a request to the rank agent at an address.
func CallAgent(ctx context.Context, client *http.Client, address string, req *api.RankRequest) (*api.RankReply, error) {
	data, err := proto.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encode rank request")
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+RequestPath, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "create rank request")
	}
	// An order must not be sent twice: without GetBody the HTTP client cannot retry it.
	httpReq.GetBody = nil
	resp, err := client.Do(httpReq)
	if err != nil {
		return nil, errors.Wrap(err, "call rank agent")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := bounded.ReadAll(resp.Body, maxReplyBytes, "the reply of a rank agent")
	if err != nil {
		return nil, errors.Wrap(err, "read rank reply")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("rank agent returned HTTP status %d", resp.StatusCode)
	}
	reply := &api.RankReply{}
	if err := proto.Unmarshal(answer, reply); err != nil {
		return nil, errors.Wrap(err, "decode rank reply")
	}
	return reply, nil
}

var kindToWire = map[mapswitch.Kind]api.RankOrder_Kind{
	mapswitch.Prepare:     api.RankOrder_PREPARE,
	mapswitch.Hold:        api.RankOrder_HOLD,
	mapswitch.Arm:         api.RankOrder_ARM,
	mapswitch.Disarm:      api.RankOrder_DISARM,
	mapswitch.ReleaseHold: api.RankOrder_GO,
	mapswitch.Claim:       api.RankOrder_CLAIM,
}

var kindFromWire = map[api.RankOrder_Kind]mapswitch.Kind{
	api.RankOrder_PREPARE: mapswitch.Prepare,
	api.RankOrder_HOLD:    mapswitch.Hold,
	api.RankOrder_ARM:     mapswitch.Arm,
	api.RankOrder_DISARM:  mapswitch.Disarm,
	api.RankOrder_GO:      mapswitch.ReleaseHold,
	api.RankOrder_CLAIM:   mapswitch.Claim,
}

var resultToWire = map[platform.OrderResult]api.OrderResult{
	platform.OrderUnknown: api.OrderResult_ORDER_UNKNOWN,
	platform.OrderTaken:   api.OrderResult_ORDER_TAKEN,
	platform.OrderUnfit:   api.OrderResult_ORDER_UNFIT,
	platform.OrderFenced:  api.OrderResult_ORDER_FENCED,
}

// OrderToWire returns the message of an order, without the map of a version to prepare.
func OrderToWire(o mapswitch.Order, fence int64) *api.RankOrder {
	return &api.RankOrder{Kind: kindToWire[o.Kind], Version: o.Version, Step: o.Step, Epoch: o.Epoch, Fence: fence}
}

// MapOrder is the map of a version to prepare, encoded once for the orders to all ranks.
type MapOrder struct {
	whole []*api.LayerSet
	// compact holds the fields of an order that tells changes; nil if there is none.
	compact *api.RankOrder
}

// NewMapOrder encodes a map, by layer set and rank, and how it differs from the map of version
// base. If base is zero, baseMap is the map that the group began with.
func NewMapOrder(m [][][]int32, base int64, baseMap [][][]int32) *MapOrder {
	o := &MapOrder{whole: mapToWire(m)}
	compact := &api.RankOrder{Base: base}
	if base == 0 {
		compact.Dealt = shapeOf(baseMap)
		dealt, ok := dealtMap(compact.Dealt)
		if !ok {
			return o
		}
		baseMap = dealt
	}
	m = sortedMap(m)
	changes, ok := mapChanges(sortedMap(baseMap), m)
	if ok {
		compact.Changes, compact.MapHash = changes, mapHash(m)
		o.compact = compact
	}
	return o
}

// AddTo adds the map to an order: its changes, or the whole map if whole is set. A nil MapOrder adds
// nothing, and engines refuse the order.
func (m *MapOrder) AddTo(w *api.RankOrder, whole bool) {
	if m == nil {
		return
	}
	if whole || m.compact == nil {
		w.Map = m.whole
		return
	}
	w.Base, w.Dealt, w.Changes, w.MapHash = m.compact.Base, m.compact.Dealt, m.compact.Changes, m.compact.MapHash
}

func mapToWire(m layers) []*api.LayerSet {
	wire := make([]*api.LayerSet, 0, len(m))
	for _, set := range m {
		layer := &api.LayerSet{}
		for _, experts := range set {
			layer.Ranks = append(layer.Ranks, &api.RankExperts{Experts: experts})
		}
		wire = append(wire, layer)
	}
	return wire
}

func mapFromWire(wire []*api.LayerSet) layers {
	var m layers
	for _, layer := range wire {
		var set [][]int32
		for _, rank := range layer.GetRanks() {
			set = append(set, append([]int32{}, rank.GetExperts()...))
		}
		m = append(m, set)
	}
	return m
}

func orderFromWire(w *api.RankOrder) platform.EngineOrder {
	return platform.EngineOrder{
		Order: mapswitch.Order{Kind: kindFromWire[w.GetKind()], Version: w.GetVersion(), Step: w.GetStep(), Epoch: w.GetEpoch()},
		Fence: w.GetFence(),
		Map:   mapFromWire(w.GetMap()),
	}
}

func stateToWire(r *platform.EngineReport) *api.RankState {
	s := &api.RankState{
		Group: r.Group, Rank: int32(r.Rank), Size: int32(r.Size), Open: r.IsOpen, Born: r.StartedAtUnixMs, Pace: r.Slowdown,
		Epoch: r.Maps.Epoch, Step: r.Maps.Step, Map: r.Maps.Map, Prepared: r.Maps.Prepared,
	}
	if a := r.Maps.Armed; a != nil {
		s.ArmedVersion, s.ArmedStep = a.Version, a.Step
	}
	if h := r.Maps.Held; h != nil {
		s.Held, s.HeldStep = true, *h
	}
	return s
}

// StatusFromWire returns the part of a rank's state that matters for switching maps.
func StatusFromWire(s *api.RankState) mapswitch.Status {
	status := mapswitch.Status{Epoch: s.GetEpoch(), Step: s.GetStep(), Map: s.GetMap(), Prepared: s.GetPrepared()}
	if s.GetArmedVersion() != 0 {
		status.Armed = &mapswitch.Arming{Version: s.GetArmedVersion(), Step: s.GetArmedStep()}
	}
	if s.GetHeld() {
		step := s.GetHeldStep()
		status.Held = &step
	}
	return status
}
