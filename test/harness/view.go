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

// View is a proxy through which one process reaches the platform. It forwards requests, and in the
// list of VMs replaces the link addresses of other VMs by forwarders used by this process alone, so
// that a test can break each link separately.
type View struct {
	*httptest.Server

	cluster *Cluster
	mu      sync.Mutex
	cut     bool
	frozen  []byte
	links   map[string]*Forwarder
	counts  RequestCounts
}

// RequestCounts counts the requests of one process to the platform.
type RequestCounts struct {
	// LogReads counts reads of the log, ListReads reads of the list of VMs, LogAppends appends to
	// the log.
	LogReads, ListReads, LogAppends int
	// ReadBytes and ListBytes are the total sizes of the response bodies of log and list reads.
	ReadBytes, ListBytes int
	// ListSize is the body size of the last complete list.
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

// Cut makes the platform unreachable for this process, or reachable again if cut is false.
func (v *View) Cut(cut bool) {
	v.mu.Lock()
	v.cut = cut
	v.mu.Unlock()
	if cut {
		v.Server.CloseClientConnections()
	}
}

// Freeze makes this process get the current list of VMs until Freeze(false), whatever changes.
func (v *View) Freeze(frozen bool) {
	list, err := v.cluster.Platform.VMs()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.frozen = nil
	if frozen && err == nil {
		v.frozen, _ = json.Marshal(platform.VMChange{VMs: v.rewrite(list)})
	}
}

// RequestCounts returns the counts of this process's requests so far.
func (v *View) RequestCounts() RequestCounts {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counts
}

// count counts one answered request.
func (v *View) count(r *http.Request, bytes int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case r.URL.Path == "/vms":
		v.counts.ListReads++
		v.counts.ListBytes += bytes
		if bytes > 0 {
			v.counts.ListSize = bytes
		}
	case r.Method == http.MethodPost:
		v.counts.LogAppends++
	default:
		v.counts.LogReads++
		v.counts.ReadBytes += bytes
	}
}

// Link returns the forwarder from this process to a VM's link address.
func (v *View) Link(vm string) *Forwarder {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.links[vm]
}

// Links returns the forwarders from this process to all other VMs.
func (v *View) Links() []*Forwarder {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []*Forwarder
	for _, f := range v.links {
		all = append(all, f)
	}
	return all
}

// rewrite replaces link addresses by forwarders. The caller holds the lock.
func (v *View) rewrite(list []platform.VM) []platform.VM {
	if v.cluster.Direct {
		return list
	}
	for i, vm := range list {
		if v.links[vm.ID] == nil {
			link, err := newForwarder(anyAddress, vm.Link)
			if err != nil {
				continue // The process gets the real address; a test cannot break this link.
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
		v.serveList(w, r)
	default:
		v.forward(w, r)
	}
}

func (v *View) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := v.cluster.Platform.VMs()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	v.mu.Lock()
	shown := platform.VMChange{VMs: v.rewrite(list)}
	v.mu.Unlock()
	v.count(r, web.RespondWithETag(w, r, shown))
}

// viewTransport opens a connection for each request, so that it never retries one.
var viewTransport = &http.Transport{DisableKeepAlives: true}

func (v *View) forward(w http.ResponseWriter, r *http.Request) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, v.cluster.Platform.URL()+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	response, err := viewTransport.RoundTrip(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	w.WriteHeader(response.StatusCode)
	n, err := io.Copy(w, response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	v.count(r, int(n))
}
