package harness

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/apricothub/apricothub/internal/standin/platform"
	"github.com/apricothub/apricothub/internal/standin/web"
)

// View is the platform as one process sees it. It passes requests on and shows the
// links of other VMs through forwarders of that process's own, so that a test can
// break each link by itself.
type View struct {
	*httptest.Server

	cluster *Cluster
	mu      sync.Mutex
	cut     bool
	frozen  []byte
	links   map[string]*Forwarder
	asked   Asked
}

// Asked counts what one process has asked of the platform.
type Asked struct {
	// Reads are reads of the log, Lists of the list of VMs, Appends to the log.
	Reads, Lists, Appends int
	// ReadBytes and ListBytes are those of the answers' bodies.
	ReadBytes, ListBytes int
	// ListSize is the body of the newest whole list.
	ListSize int
}

func newView(cluster *Cluster) *View {
	v := &View{cluster: cluster, links: map[string]*Forwarder{}}
	v.Server = httptest.NewServer(v)
	cluster.report.Cleanup(v.close)
	return v
}

func (v *View) close() {
	v.Server.CloseClientConnections()
	v.Server.Close()
	for _, link := range v.Links() {
		link.Close()
	}
}

// Cut makes the platform unreachable for this process, or reachable again.
func (v *View) Cut(cut bool) {
	v.mu.Lock()
	v.cut = cut
	v.mu.Unlock()
	if cut {
		v.Server.CloseClientConnections()
	}
}

// Freeze keeps showing this process the list of VMs as it is now, or stops that.
func (v *View) Freeze(frozen bool) {
	list, err := v.cluster.Platform.VMs()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.frozen = nil
	if frozen && err == nil {
		v.frozen, _ = json.Marshal(platform.VMChange{VMs: v.rewrite(list)})
	}
}

// Asked returns what this process has asked so far.
func (v *View) Asked() Asked {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.asked
}

// count notes one answered request.
func (v *View) count(r *http.Request, bytes int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case r.URL.Path == "/vms":
		v.asked.Lists++
		v.asked.ListBytes += bytes
		if bytes > 0 {
			v.asked.ListSize = bytes
		}
	case r.Method == http.MethodPost:
		v.asked.Appends++
	default:
		v.asked.Reads++
		v.asked.ReadBytes += bytes
	}
}

// Link returns the forwarder between this process and a VM's link address.
func (v *View) Link(vm string) *Forwarder {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.links[vm]
}

// Links returns all forwarders between this process and others that it dials.
func (v *View) Links() []*Forwarder {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []*Forwarder
	for _, f := range v.links {
		all = append(all, f)
	}
	return all
}

// rewrite puts forwarders in place of link addresses; the lock is held.
func (v *View) rewrite(list []platform.VM) []platform.VM {
	if v.cluster.Direct {
		return list
	}
	for i, vm := range list {
		if v.links[vm.ID] == nil {
			link, err := newForwarder(anyPort, vm.Link)
			if err != nil {
				continue // The process sees the plain address: no fault can be put there.
			}
			v.links[vm.ID] = link
		}
		list[i].Link = v.links[vm.ID].Address
	}
	return list
}

func (v *View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	cut, frozen := v.cut, v.frozen
	v.mu.Unlock()
	switch {
	case cut:
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/vms" && frozen != nil:
		_, _ = w.Write(frozen)
	case r.URL.Path == "/vms":
		v.list(w, r)
	default:
		v.pass(w, r)
	}
}

func (v *View) list(w http.ResponseWriter, r *http.Request) {
	list, err := v.cluster.Platform.VMs()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	v.mu.Lock()
	shown := platform.VMChange{VMs: v.rewrite(list)}
	v.mu.Unlock()
	v.count(r, web.RespondWithETag(w, r, shown))
}

// viewTransport sends each request on its own connection and never twice.
var viewTransport = &http.Transport{DisableKeepAlives: true}

func (v *View) pass(w http.ResponseWriter, r *http.Request) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, v.cluster.Platform.URL()+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	answer, err := viewTransport.RoundTrip(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer answer.Body.Close()
	w.WriteHeader(answer.StatusCode)
	n, err := io.Copy(w, answer.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	v.count(r, int(n))
}
