package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/apricothub/apricothub/internal/bounded"
)

// The shape of the expert maps of the group, as in the first configuration.
const (
	groupRanks   = 12
	layerSets    = 4
	expertsOfSet = 72
	expertPlaces = 8
	copyTime     = 100 * time.Millisecond
	passTime     = 50 * time.Millisecond
)

// group is a lock-step group of engines that always has requests. It takes orders as the pages say.
type group struct {
	r    *rig
	born int64

	mu    sync.Mutex
	step  int64
	ranks []*rank
}

// rank is one engine of a group.
type rank struct {
	g                        *group
	index                    int
	fence, sequence          int64
	mapVersion, newest       int64
	prepared                 int64
	preparing                int64
	experts, preparedExperts [][]int
	armed                    *arming
	held                     *int64
	counts                   []int64
}

type arming struct {
	Version int64 `json:"version"`
	Step    int64 `json:"step"`
}

// order is an order to an engine.
type order struct {
	Op      string    `json:"op"`
	Version int64     `json:"version"`
	Step    int64     `json:"step"`
	Epoch   *int64    `json:"epoch"`
	Fence   int64     `json:"fence"`
	Map     [][][]int `json:"map"`
}

// startGroup starts the engines of a service and a rank agent beside each of them.
func (r *rig) startGroup(service string, ips []string, peerPort int) *group {
	g := &group{r: r, born: time.Now().UnixMilli()}
	for i, ip := range ips {
		e := &rank{g: g, index: i, experts: make([][]int, layerSets), counts: make([]int64, layerSets*expertsOfSet)}
		for set := range layerSets {
			for expert := i; expert < expertsOfSet; expert += groupRanks {
				e.experts[set] = append(e.experts[set], expert)
			}
		}
		g.ranks = append(g.ranks, e)
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		must(err)
		mux := http.NewServeMux()
		mux.HandleFunc("GET /apricothub/report", e.serveReport)
		mux.HandleFunc("GET /apricothub/picked", e.servePicked)
		mux.HandleFunc("POST /apricothub/order", e.serveOrder)
		server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = server.Serve(listener) }()
		r.closers = append(r.closers, func() { _ = server.Close() })
		address, id := listener.Addr().String(), newInstance()
		r.startRankAgent(fmt.Sprintf("side-%d", i+1), ip, zones[i%len(zones)], address, service, peerPort)
		go r.beatEngine(service, id, address, zones[i%len(zones)], g.born)
	}
	go g.run()
	return g
}

func (r *rig) beatEngine(service, id, address, zone string, born int64) {
	for {
		r.store.put("keyed.servers", id, fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":%q,"version":"v1","concurrency":12,"state":"ready","cold-remaining-ms":0,"stage":"both","sequence":0,"born":%d}`,
			service, address, zone, born))
		select {
		case <-time.After(heartbeat):
		case <-r.done:
			return
		}
	}
}

func (r *rig) startRankAgent(name, ip, zone, engine, service string, peerPort int) {
	text := fmt.Sprintf(`node-name=%s
role=rank-agent
machine-class=side
serves=side
ip=%s
zone=%s
region=great-lakes
internal-ports=%d,%d
limits.memory-mb=152
heartbeat-ms=%d
bounds.stall_ms=1500
bounds.require-fencing=true
app=%s
service=%s
platform.address=%s
platform.form=log
`, name, ip, zone, peerPort, peerPort, heartbeat.Milliseconds(), engine, service, r.store.address)
	path := filepath.Join(r.dir, name+".conf")
	must(os.WriteFile(path, []byte(text), 0o600))
	cmd := exec.Command(r.gatewayPath, "rank-agent")
	cmd.Env = []string{"APRICOTHUB_CONFIG=" + path, "PATH=" + os.Getenv("PATH")}
	must(cmd.Start())
	r.closers = append(r.closers, func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

// run makes passes until the case ends.
func (g *group) run() {
	for {
		select {
		case <-time.After(passTime):
		case <-g.r.done:
			return
		}
		g.pass()
	}
}

// pass begins the next pass unless a rank holds it.
func (g *group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.ranks {
		if e.held != nil && *e.held == g.step+1 {
			return
		}
	}
	g.step++
	for _, e := range g.ranks {
		if e.armed != nil && e.armed.Step == g.step {
			e.mapVersion, e.experts, e.armed = e.armed.Version, e.preparedExperts, nil
			e.prepared, e.preparedExperts = 0, nil
		}
		for range 40 * layerSets {
			// A few experts get most of the tokens.
			expert := int(float64(expertsOfSet) * rand.Float64() * rand.Float64())
			e.counts[rand.IntN(layerSets)*expertsOfSet+expert]++
		}
	}
}

func (e *rank) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	var prepared *int64
	if e.prepared != 0 {
		prepared = &e.prepared
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "busy": e.preparing != 0, "sequence": e.sequence, "waiting": 0, "running": 4, "kv-used": 41000, "kv-total": 280000,
		"handles": 0, "born": e.g.born, "pace": 1.0, "size": groupRanks, "step": e.g.step, "map": e.mapVersion, "prepared": prepared,
		"armed": e.armed, "held": e.held,
		"group": map[string]any{"name": "g-1", "epoch": 1, "rank": e.index, "state": "open"},
	})
}

func (e *rank) servePicked(w http.ResponseWriter, req *http.Request) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if !req.URL.Query().Has("lists") {
		_ = json.NewEncoder(w).Encode(map[string]any{"step": e.g.step, "epoch": 1, "counts": e.counts})
		return
	}
	answer := map[string]any{"map": map[string]any{"version": e.mapVersion, "experts": e.experts}, "prepared": nil}
	if e.prepared != 0 {
		answer["prepared"] = map[string]any{"version": e.prepared, "experts": e.preparedExperts}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (e *rank) serveOrder(w http.ResponseWriter, req *http.Request) {
	body, err := bounded.ReadAll(req.Body, maxAppendBytes, "an order")
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.g.mu.Lock()
	status := e.obey(o)
	e.g.mu.Unlock()
	e.g.r.note("rank %d: order %s version %d step %d: %d", e.index, o.Op, o.Version, o.Step, status)
	w.WriteHeader(status)
}

// obey carries out an order and returns the status of its answer. The caller holds the lock.
func (e *rank) obey(o order) int {
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = max(e.fence, o.Fence)
	if o.Epoch != nil && *o.Epoch != 1 {
		return http.StatusConflict
	}
	step := e.g.step
	ok := false
	switch o.Op {
	case "prepare":
		ok = o.Version > e.newest && e.armed == nil && len(o.Map) == layerSets
		if ok {
			e.newest, e.preparing = o.Version, o.Version
			time.AfterFunc(copyTime, func() { e.endCopy(o) })
		}
	case "arm":
		ok = e.prepared == o.Version && o.Step > step
		if ok {
			e.armed = &arming{o.Version, o.Step}
		}
	case "disarm":
		ok = e.mapVersion != o.Version
		if e.armed != nil && e.armed.Version == o.Version {
			e.armed = nil
		}
	case "hold":
		ok = o.Step > step && (e.held == nil || *e.held == o.Step)
		if ok {
			e.held = &o.Step
		}
	case "go":
		ok = true
		if e.held != nil && *e.held == o.Step {
			e.held = nil
		}
	default:
		return http.StatusBadRequest
	}
	if !ok {
		return http.StatusConflict
	}
	e.sequence++
	return http.StatusAccepted
}

// endCopy makes a version prepared.
func (e *rank) endCopy(o order) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	if e.preparing != o.Version {
		return
	}
	e.preparing, e.prepared = 0, o.Version
	e.preparedExperts = make([][]int, layerSets)
	for set := range o.Map {
		e.preparedExperts[set] = o.Map[set][e.index]
	}
}
