package entry

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/decide/rollout"
	"github.com/apricothub/apricothub/internal/member"
)

// orderReportTimeout is how long an agent may take to report an order that was sent to it, the time
// of several reports. Until then the agent counts as loading, or the next tick would order more.
const orderReportTimeout = 2 * time.Second

// sentOrder is an order that the agent may not have reported yet.
type sentOrder struct {
	fence  int64
	sentAt time.Duration
}

// rolloutState tracks the rollout of model versions to backend servers. The control goroutine owns
// it.
type rolloutState struct {
	sentOrders map[string]sentOrder // by VM
	// lastReported is the last report of each backend server that takes orders. A server without a
	// link still counts as one of its model's.
	lastReported map[string]rollout.Server
	modelByVM    map[string]string
}

func newRolloutState() rolloutState {
	return rolloutState{sentOrders: make(map[string]sentOrder), lastReported: make(map[string]rollout.Server), modelByVM: make(map[string]string)}
}

// coordinateRollout sends load orders if this entry is the coordinator.
//
// Entries do not vote on the coordinator. While links or readiness change, two entries may both act
// as coordinator. Each counts what agents report, so more servers than the budget allows may load
// at once for about a second, until the reports show the other's orders. Two orders for one agent
// have the same effect as one, because the fence is the offset of the uses list.
func (e *entry) coordinateRollout(now time.Duration, state *member.State) {
	servers := e.directory.rolloutServers()
	e.rollouts.updateServers(servers, state)
	if !e.isRolloutCoordinator(now, state) {
		clear(e.rollouts.sentOrders)
		return
	}
	fence := state.View.ListOffset(api.ListName_LIST_USES)
	for name, model := range state.View.Models() {
		target := rollout.Target{Version: model.GetVersion(), Adapters: model.GetAdapters(), Fence: fence}
		for _, vm := range rollout.NextToLoad(e.rollouts.fleet(now, name, target, servers), target) {
			e.sendLoadOrder(now, vm, name, target)
		}
	}
}

// isRolloutCoordinator says whether this entry has the lowest name of the entries in service.
func (e *entry) isRolloutCoordinator(now time.Duration, state *member.State) bool {
	if state.UnreadyCode(now) != api.ResultCode_OK || state.OutOfService {
		return false
	}
	for vm, peer := range state.Peers {
		if peer.Hello.GetRole() == api.Role_ROLE_ENTRY && peer.Ready && peer.Usable() &&
			!state.View.VMOutOfService(vm, peer.Hello.GetFailureDomain()) && vm < e.self.GetVm() {
			return false
		}
	}
	return true
}

func (e *entry) sendLoadOrder(now time.Duration, vm, model string, target rollout.Target) {
	peer, ok := e.directory.agentPeer(vm)
	if !ok {
		return
	}
	if sent, ok := e.rollouts.sentOrders[vm]; ok && sent.fence == target.Fence && now-sent.sentAt < orderReportTimeout {
		return
	}
	e.rollouts.sentOrders[vm] = sentOrder{fence: target.Fence, sentAt: now}
	_ = e.logger.Log("msg", "A backend server is ordered to load.", "vm", vm, "model", model, "version", target.Version, "fence", target.Fence)
	peer.Session.Post(&api.Control{Body: &api.Control_Rollout{Rollout: &api.LoadOrder{
		Model:    model,
		Version:  target.Version,
		Adapters: target.Adapters,
		Fence:    target.Fence,
	}}})
}

// updateServers records what the servers report and forgets those that have left the platform's
// list.
func (r *rolloutState) updateServers(servers map[string]map[string]rollout.Server, state *member.State) {
	listed := make(map[string]bool, len(state.VMs))
	for _, vm := range state.VMs {
		listed[vm.ID] = true
	}
	for vm := range r.modelByVM {
		if !listed[vm] {
			delete(r.modelByVM, vm)
			delete(r.lastReported, vm)
			delete(r.sentOrders, vm)
		}
	}
	for model, byVM := range servers {
		for vm, server := range byVM {
			r.modelByVM[vm], r.lastReported[vm] = model, server
		}
	}
}

// fleet returns all servers of a model, including those without a link. Servers with an order that
// is not reported yet count as loading.
func (r *rolloutState) fleet(now time.Duration, model string, target rollout.Target, servers map[string]map[string]rollout.Server) []rollout.Server {
	var fleet []rollout.Server
	for vm, vmModel := range r.modelByVM {
		if vmModel != model {
			continue
		}
		server, linked := servers[model][vm]
		if !linked {
			server = r.lastReported[vm]
			server.Missing = true
		}
		if sent, ok := r.sentOrders[vm]; ok && now-sent.sentAt < orderReportTimeout && !server.Loading && !target.IsMetBy(server.Version, server.Adapters) {
			server.Loading, server.OrderFence = true, sent.fence
		}
		fleet = append(fleet, server)
	}
	return fleet
}

// rolloutServers returns the servers of each model that take load orders, by VM. Groups of ranks
// take none: their engines run one model in lock-step, and changing one of them alone would stop or
// corrupt the others.
func (d *directory) rolloutServers() map[string]map[string]rollout.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers := make(map[string]map[string]rollout.Server)
	for vm, s := range d.status {
		peer := d.peers[vm]
		if !takesLoadOrders(s) || peer == nil {
			continue
		}
		if servers[s.GetModel()] == nil {
			servers[s.GetModel()] = make(map[string]rollout.Server)
		}
		servers[s.GetModel()][vm] = rollout.Server{
			VM:         vm,
			Domain:     peer.Hello.GetFailureDomain(),
			Version:    s.GetModelVersion(),
			Adapters:   s.GetAdapters(),
			Loading:    s.GetLoading(),
			OrderFence: s.GetOrderFence(),
			Cold:       s.GetCold(),
			Refusing:   s.GetRefusing() != api.ResultCode_OK && !s.GetLoading() || peer.Draining,
			Missing:    peer.Session.Suspect(),
			Limit:      int(s.GetLimit()),
			Requests:   int(s.GetRunning() + s.GetQueued()),
		}
	}
	return servers
}

func takesLoadOrders(s *api.BackendStatus) bool {
	return s.GetModel() != "" && s.GetGroup() == "" && !s.GetFixed()
}

// offerInForce returns the offer for callers that name no version, and its version, which is empty
// for any.
//
// During a rollout these callers are served by any version, because no server has the new version
// at its beginning and none the old one at its end. The offer is the same before and after, so that
// requests queued when a version is published do not wait for a version that is being replaced.
// Only where servers that take no orders keep another version does the version in force get an
// offer of its own.
func (d *directory) offerInForce(name string) (offer, version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	model, _ := d.view.Model(name)
	if version = model.GetVersion(); version != "" && d.needsVersionOffer[name] {
		return modelOffer(name + "@" + version), version
	}
	return modelOffer(name), ""
}

// modelsNeedingVersionOffer finds the models that servers without load orders hold in another
// version than that in force, while all servers that take orders have it.
func modelsNeedingVersionOffer(view *config.View, status map[string]*api.BackendStatus) map[string]bool {
	heldElsewhere := make(map[string]bool)
	rollingOut := make(map[string]bool)
	servedInForce := make(map[string]bool)
	for _, s := range status {
		model, ok := view.Model(s.GetModel())
		if !ok || s.GetModel() == "" {
			continue
		}
		switch {
		case s.GetModelVersion() == model.GetVersion():
			servedInForce[s.GetModel()] = true
		case takesLoadOrders(s):
			rollingOut[s.GetModel()] = true
		default:
			heldElsewhere[s.GetModel()] = true
		}
	}
	for name := range heldElsewhere {
		heldElsewhere[name] = servedInForce[name] && !rollingOut[name]
	}
	return heldElsewhere
}
