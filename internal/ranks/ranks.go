// Package ranks talks to the engines of a lock-step group about expert maps: through the
// process beside each engine, or to the engine itself while that process does not answer.
package ranks

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/mapswitch"
	"github.com/apricothub/apricothub/platform"
)

// Path is where the process beside an engine takes requests.
const Path = "/rank"

// AlivePath is where it says that its VM lives, and no more.
const AlivePath = "/alive"

// maxReply bounds a reply, bytes.
const maxReply = 4 << 20

// Ask gives an engine the order of a request, and then reads what the request wants.
func Ask(ctx context.Context, engine *platform.Engine, req *api.RankRequest) *api.RankReply {
	reply := &api.RankReply{}
	fail := func(err error) {
		if reply.GetError() == "" {
			reply.Error = err.Error()
		}
	}
	if o := req.GetOrder(); o != nil {
		made, err := Order(ctx, engine, o)
		if err != nil {
			fail(err)
		}
		reply.Result = made
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

// Order gives an engine an order and reads nothing.
//
// Load: engines that leave orders unanswered. Harm prevented: the time for which the engine's
// state could still be read is spent on the answer, and nothing at all is known of the rank.
func Order(ctx context.Context, engine *platform.Engine, o *api.RankOrder) (api.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.OrderTimeout)
	defer cancel()
	made, err := engine.Order(ctx, fromWire(o))
	return resultToWire[made], err
}

// Beside is the address of the process beside an engine: on the engine's VM, at the port that
// all processes of the system listen on.
func Beside(engine string, port int) (string, error) {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return "", errors.Wrap(err, "rank")
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}

// Via asks the process beside an engine, at an address.
func Via(ctx context.Context, client *http.Client, address string, req *api.RankRequest) (*api.RankReply, error) {
	data, err := proto.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "rank")
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "rank")
	}
	// An order must not be sent twice by the library.
	httpReq.GetBody = nil
	resp, err := client.Do(httpReq)
	if err != nil {
		return nil, errors.Wrap(err, "rank")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, errors.Wrap(err, "rank")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("rank: status %d", resp.StatusCode)
	}
	reply := &api.RankReply{}
	if err := proto.Unmarshal(answer, reply); err != nil {
		return nil, errors.Wrap(err, "rank")
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

// OrderToWire makes the message of an order; the map is that of a version to prepare, by
// set of layers and rank.
func OrderToWire(o mapswitch.Order, fence int64, layers [][][]int32) *api.RankOrder {
	w := &api.RankOrder{Kind: kindToWire[o.Kind], Version: o.Version, Step: o.Step, Epoch: o.Epoch, Fence: fence}
	for _, set := range layers {
		layer := &api.LayerSet{}
		for _, experts := range set {
			layer.Ranks = append(layer.Ranks, &api.RankExperts{Experts: experts})
		}
		w.Map = append(w.Map, layer)
	}
	return w
}

func fromWire(w *api.RankOrder) platform.EngineOrder {
	o := platform.EngineOrder{
		Order: mapswitch.Order{Kind: kindFromWire[w.GetKind()], Version: w.GetVersion(), Step: w.GetStep(), Epoch: w.GetEpoch()},
		Fence: w.GetFence(),
	}
	for _, layer := range w.GetMap() {
		var set [][]int32
		for _, rank := range layer.GetRanks() {
			set = append(set, append([]int32{}, rank.GetExperts()...))
		}
		o.Map = append(o.Map, set)
	}
	return o
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

// Status returns the part of a state that switching maps goes by.
func Status(s *api.RankState) mapswitch.Status {
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
