package entry

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/decide/rollout"
	"github.com/apricothub/apricothub/internal/member"
)

// orderAgain is how long an agent's report may take to tell of an order sent to it: some
// reports' time. Until then it counts as loading, or the next tick would choose more.
const orderAgain = 2 * time.Second

// orderSent is an order that reports may not tell of yet.
type orderSent struct {
	fence int64
	at    time.Duration
}

// rollouts brings the backend servers to the versions in force. The control goroutine
// owns it.
type rollouts struct {
	sent map[string]orderSent // by agent's VM
	// models remembers the model of each backend server that may be ordered, so that
	// one whose link is gone still counts as one of its model's.
	models map[string]rollout.Server
	of     map[string]string
}

func newRollouts() rollouts {
	return rollouts{sent: make(map[string]orderSent), models: make(map[string]rollout.Server), of: make(map[string]string)}
}

// driveRollout sends orders if this entry is the one that drives.
//
// Nobody agrees on the driver. Two entries may both believe that they are it while links
// or readiness change; each counts what the agents report, so that until the reports of
// a second or so tell of the other's orders, more may load at once than the budget, and
// no longer. Two orders for one agent are one: the fence is the offset of the uses list.
func (e *entry) driveRollout(now time.Duration, state *member.State) {
	servers := e.directory.rolloutServers()
	e.rollouts.remember(servers, state)
	if !e.drives(now, state) {
		clear(e.rollouts.sent)
		return
	}
	fence := state.View.ListOffset(api.ListName_LIST_USES)
	for name, model := range state.View.Models() {
		want := rollout.Target{Version: model.GetVersion(), Adapters: model.GetAdapters(), Fence: fence}
		for _, vm := range rollout.NextToLoad(e.rollouts.fleet(now, name, want, servers), want) {
			e.order(now, vm, name, want)
		}
	}
}

// drives says whether this entry has the lowest name of those that serve.
func (e *entry) drives(now time.Duration, state *member.State) bool {
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

func (e *entry) order(now time.Duration, vm, model string, want rollout.Target) {
	peer, ok := e.directory.agent(vm)
	if !ok {
		return
	}
	if sent, ok := e.rollouts.sent[vm]; ok && sent.fence == want.Fence && now-sent.at < orderAgain {
		return
	}
	e.rollouts.sent[vm] = orderSent{fence: want.Fence, at: now}
	_ = e.logger.Log("msg", "A backend server is ordered to load.", "vm", vm, "model", model, "version", want.Version, "fence", want.Fence)
	peer.Session.Post(&api.Control{Body: &api.Control_Rollout{Rollout: &api.LoadOrder{
		Model:    model,
		Version:  want.Version,
		Adapters: want.Adapters,
		Fence:    want.Fence,
	}}})
}

// remember takes what the servers report and forgets those that have left the
// platform's list.
func (r *rollouts) remember(servers map[string]map[string]rollout.Server, state *member.State) {
	listed := make(map[string]bool, len(state.VMs))
	for _, vm := range state.VMs {
		listed[vm.ID] = true
	}
	for vm := range r.of {
		if !listed[vm] {
			delete(r.of, vm)
			delete(r.models, vm)
			delete(r.sent, vm)
		}
	}
	for model, of := range servers {
		for vm, server := range of {
			r.of[vm], r.models[vm] = model, server
		}
	}
}

// fleet returns all servers of a model, with those missing and with those that have been
// sent an order that no report tells of yet.
func (r *rollouts) fleet(now time.Duration, model string, want rollout.Target, servers map[string]map[string]rollout.Server) []rollout.Server {
	var fleet []rollout.Server
	for vm, of := range r.of {
		if of != model {
			continue
		}
		server, linked := servers[model][vm]
		if !linked {
			server = r.models[vm]
			server.Missing = true
		}
		if sent, ok := r.sent[vm]; ok && now-sent.at < orderAgain && !server.Loading && !want.IsMetBy(server.Version, server.Adapters) {
			server.Loading, server.OrderFence = true, sent.fence
		}
		fleet = append(fleet, server)
	}
	return fleet
}

// rolloutServers returns the servers of each model that take orders, by VM. A group of
// ranks is left out: its engines run one model in lock-step, and to change one of them
// alone would stop or spoil the others.
func (d *directory) rolloutServers() map[string]map[string]rollout.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers := make(map[string]map[string]rollout.Server)
	for vm, s := range d.status {
		peer := d.peers[vm]
		if !takesOrders(s) || peer == nil {
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

func takesOrders(s *api.BackendStatus) bool {
	return s.GetModel() != "" && s.GetGroup() == "" && !s.GetFixed()
}

// inForce returns the offer for callers that name no version, and the version that it
// means; empty for any.
//
// While a rollout is under way they are served by any version: at its beginning nobody
// has the new one, and at its end nobody the old one. The same offer serves them before
// and after it, so that what waits at the gate when a version is published does not wait
// for one that goes. Only where servers that take no orders hold another version for
// good does the version in force make an offer of its own.
func (d *directory) inForce(name string) (offer, version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	model, _ := d.view.Model(name)
	if version = model.GetVersion(); version != "" && d.split[name] {
		return modelOffer(name + "@" + version), version
	}
	return modelOffer(name), ""
}

// splitModels finds the models that are served in another version than that in force by
// servers that take no orders, while all that take orders have it.
func splitModels(view *config.View, status map[string]*api.BackendStatus) map[string]bool {
	split := make(map[string]bool)
	rolling := make(map[string]bool)
	offered := make(map[string]bool)
	for _, s := range status {
		model, ok := view.Model(s.GetModel())
		if !ok || s.GetModel() == "" {
			continue
		}
		switch {
		case s.GetModelVersion() == model.GetVersion():
			offered[s.GetModel()] = true
		case takesOrders(s):
			rolling[s.GetModel()] = true
		default:
			split[s.GetModel()] = true
		}
	}
	for name := range split {
		split[name] = offered[name] && !rolling[name]
	}
	return split
}
