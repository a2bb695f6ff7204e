package entry

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/decide/rollout"
	"github.com/apricothub/apricothub/internal/member"
	"github.com/apricothub/apricothub/internal/platform"
)

// A server that was sent an order must count as loading until its report shows the order or the
// version, and for orderReportTimeout at most, because the order may be lost. A server without a
// link must count as missing until it leaves the platform's list.
func TestFleetOfARollout(t *testing.T) {
	r := newRolloutState()
	listed := &member.State{VMs: []platform.VM{{ID: "vm-1"}, {ID: "vm-2"}}}
	servers := map[string]map[string]rollout.Server{"m": {
		"vm-1": {VM: "vm-1", Version: "1"},
		"vm-2": {VM: "vm-2", Version: "1"},
	}}
	target := rollout.Target{Version: "2", Fence: 5}
	loading := func(now time.Duration) int {
		n := 0
		for _, s := range r.fleet(now, "m", target, servers) {
			if s.Loading && s.OrderFence == target.Fence {
				n++
			}
		}
		return n
	}
	r.updateServers(servers, listed)
	r.sentOrders["vm-1"] = sentOrder{fence: 5, sentAt: time.Second}
	if n := loading(time.Second + orderReportTimeout/2); n != 1 {
		t.Errorf("%d load just after the order, want 1", n)
	}
	if n := loading(time.Second + orderReportTimeout); n != 0 {
		t.Errorf("%d load although no report shows the order, want none", n)
	}
	servers["m"]["vm-1"] = rollout.Server{VM: "vm-1", Version: "2"}
	if n := loading(time.Second + orderReportTimeout/2); n != 0 {
		t.Errorf("%d load although the report has the version, want none", n)
	}

	delete(servers["m"], "vm-2")
	r.updateServers(servers, listed)
	missing := 0
	for _, s := range r.fleet(0, "m", target, servers) {
		if s.Missing {
			missing++
		}
	}
	if missing != 1 {
		t.Errorf("%d missing, want 1", missing)
	}
	listed.VMs = listed.VMs[:1]
	r.updateServers(servers, listed)
	if fleet := r.fleet(0, "m", target, servers); len(fleet) != 1 {
		t.Errorf("%d servers after one left the list, want 1", len(fleet))
	}
}

// Callers that name no version must be sent to the version in force only if servers that never
// change hold another one and no rollout is in progress.
func TestVersionForCallersThatNameNone(t *testing.T) {
	at := func(version string) *api.BackendStatus {
		return &api.BackendStatus{Model: "m", ModelVersion: version}
	}
	fixed := &api.BackendStatus{Model: "m", ModelVersion: "1", Fixed: true}
	group := &api.BackendStatus{Model: "m", ModelVersion: "1", Group: "g"}
	tests := map[string]struct {
		status []*api.BackendStatus
		want   string
	}{
		"all old":                       {[]*api.BackendStatus{at("1"), at("1")}, "model:m"},
		"in the middle":                 {[]*api.BackendStatus{at("1"), at("2")}, "model:m"},
		"all new":                       {[]*api.BackendStatus{at("2"), at("2")}, "model:m"},
		"in the middle, one is fixed":   {[]*api.BackendStatus{at("1"), at("2"), fixed}, "model:m"},
		"all new but one that is fixed": {[]*api.BackendStatus{at("2"), fixed}, "model:m@2"},
		"all new but a group":           {[]*api.BackendStatus{at("2"), group}, "model:m@2"},
		"only a group":                  {[]*api.BackendStatus{group}, "model:m"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDirectory(false)
			d.view = viewWith(t, "2")
			status := make(map[string]*api.BackendStatus)
			for i, s := range test.status {
				status[string(rune('a'+i))] = s
			}
			d.needsVersionOffer = modelsNeedingVersionOffer(d.view, status)
			if got, _ := d.offerInForce("m"); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// viewWith returns a configuration with the given version of the model m.
func viewWith(t *testing.T, version string) *config.View {
	t.Helper()
	model := &api.Section{Name: "model m", Body: &api.Section_Model{Model: &api.Model{Version: version}}}
	change := &api.ListChange{List: api.ListName_LIST_USES, Base: -1, Set: []*api.Section{model}}
	data, err := proto.Marshal(&api.Record{ChangeId: "c", Body: &api.Record_List{List: change}})
	if err != nil {
		t.Fatal(err)
	}
	fold := config.NewFold()
	if err := fold.Apply(0, data); err != nil {
		t.Fatal(err)
	}
	return fold.View()
}
