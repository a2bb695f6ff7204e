package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apricothub/apricothub/internal/bounded"
)

const (
	portCallers   = "8227"
	portReadiness = "8220"
	portDirectory = "8224"
	portControl   = "8229"
	portPeers     = 7340
	portWorker    = "8120"

	startTimeout = 15 * time.Second
	// maxCaseTime limits a case; it is below the 120 s that a case may take.
	maxCaseTime = 100 * time.Second
)

const (
	gatewayCount = 3
	// settleTime is how long callers send requests before the disruption: longer than contact-ms.
	settleTime = 5 * time.Second
)

// fleet is a small deployment: the store, gateways and workers.
type fleet struct {
	dir      string
	trouble  bool
	bounds   string
	store    *store
	gateways []*gateway
	began    time.Time

	mu        sync.Mutex
	processes []*process
	lines     []line
	nextIP    int
}

// line is one line of the record of a case.
type line struct {
	atMs int64
	text string
}

// gateway is one gateway and its process.
type gateway struct {
	name, ip, zone string
	*process
}

// process is a process that the case has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// runCase runs a case and returns its exit status.
func runCase(run func(*fleet) (broken []string, err error)) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f := &fleet{dir: dir, trouble: os.Getenv("TROUBLE") != "0", bounds: smallBounds, began: time.Now()}
	defer func() { _ = os.RemoveAll(dir) }()
	defer f.end()
	type outcome struct {
		broken []string
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := run(f)
		ended <- outcome{broken, err}
	}()
	o := outcome{err: fmt.Errorf("the case took longer than %s", maxCaseTime)}
	select {
	case o = <-ended:
	case <-time.After(maxCaseTime):
	}
	f.end()
	if err := f.writeRecord(o.broken, o.err); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	switch {
	case o.err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", o.err)
		return exitNotRun
	case len(o.broken) > 0:
		fmt.Printf("the rule was broken %d times, first: %s\n", len(o.broken), o.broken[0])
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// end ends all processes of the case.
func (f *fleet) end() {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// note adds a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, line{time.Now().UnixMilli(), fmt.Sprintf(format, args...)})
}

// writeRecord writes record.txt into the working directory.
func (f *fleet) writeRecord(broken []string, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var text strings.Builder
	fmt.Fprintf(&text, "trouble %v, %d breaks, error %v\n", f.trouble, len(broken), err)
	for _, b := range broken {
		fmt.Fprintln(&text, "BROKEN", b)
	}
	sort.SliceStable(f.lines, func(i, j int) bool { return f.lines[i].atMs < f.lines[j].atMs })
	for _, l := range f.lines {
		fmt.Fprintf(&text, "%9.3f %s\n", float64(l.atMs-f.began.UnixMilli())/1000, l.text)
	}
	return os.WriteFile("record.txt", []byte(text.String()), 0o600)
}

// newIP returns a loopback address of its own.
func (f *fleet) newIP() string {
	f.nextIP++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%190, 1+pid/190%250, f.nextIP)
}

// start starts a process. Lines on its standard output that begin with a time go into the record.
func (f *fleet) start(name string, env []string, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd, make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

// collect adds what a worker has written to the record.
func (f *fleet) collect(name string) []string {
	data, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range lines {
		at, text, _ := strings.Cut(l, " ")
		if ms, err := strconv.ParseInt(at, 10, 64); err == nil {
			f.lines = append(f.lines, line{ms, text})
		}
	}
	return lines
}

// settings are the settings of a gateway, with the bounds of a small deployment.
const settings = `node-name=%[1]s
role=gateway
machine-class=front
serves=front,directory,control
ip=%[2]s
zone=%[3]s
region=home
zones.zone-a=home
zones.zone-b=home
bind.front=%[2]s:%[4]s
bind.readiness=%[2]s:%[5]s
bind.directory=%[2]s:%[6]s
bind.control=%[2]s:%[7]s
internal-ports=%[8]d,%[9]d
seeds=%[10]s
bootstrap=true
limits.cpu-share=0.4
limits.cores=1
limits.memory-mb=284
limits.file-descriptors=4100
discovery=platform
entry=directory
heartbeat-ms=1200
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.rollback-slack-ms=250
bounds.fail-closed=false
bounds.revoke-ms=5000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.cold-over=1.5
bounds.cold-slack=5
bounds.evac-ms=5000
bounds.stall_ms=1500
bounds.require-fencing=true
bounds.ttl_max_s=5
platform.address=%[11]s
platform.form=log
platform.writes-per-s=400
platform.reads-per-s=2000
platform.keep_s=300
%[12]s`

// smallBounds are the bounds of shelfwise-prod, grownBounds those of parqueo-justo-grown, where they differ.
const (
	smallBounds = `bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.config-apply-ms=2000
bounds.outer-ms=5000
bounds.budget-slack=92
bounds.recover-s=12
bounds.pass-ms=120
`
	grownBounds = `bounds.contact-ms=4000
bounds.ack-ms=6000
bounds.catch-up-s=6
bounds.drain-ms=3000
bounds.config-apply-ms=3000
bounds.outer-ms=6000
bounds.budget-slack=194
bounds.recover-s=15
bounds.pass-ms=200
`
)

// startGateways starts gateways in two failure domains and waits until they are ready.
func (f *fleet) startGateways(n int) error {
	var seeds []string
	for i := range n {
		g := &gateway{name: fmt.Sprintf("front-%d", i+1), ip: f.newIP(), zone: []string{"zone-a", "zone-b"}[i%2]}
		f.gateways = append(f.gateways, g)
		seeds = append(seeds, net.JoinHostPort(g.ip, portControl))
	}
	for _, g := range f.gateways {
		path := filepath.Join(f.dir, g.name+".conf")
		text := fmt.Sprintf(settings, g.name, g.ip, g.zone, portCallers, portReadiness, portDirectory, portControl, portPeers, portPeers+15, strings.Join(seeds, ","), f.store.address, f.bounds)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		p, err := f.start(g.name, []string{"APRICOTHUB_CONFIG=" + path}, os.Getenv("APRICOTHUB"), "gateway")
		if err != nil {
			return err
		}
		g.process = p
		f.note("operator starts %s, process %d", g.name, p.cmd.Process.Pid)
	}
	for _, g := range f.gateways {
		if err := awaitReady("http://" + net.JoinHostPort(g.ip, portReadiness) + "/apricothub/readyz"); err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
		f.note("%s is ready", g.name)
	}
	return nil
}

func awaitReady(target string) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	client := &http.Client{Timeout: time.Second, Transport: bounded.Transport(&http.Transport{DisableKeepAlives: true})}
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("not ready after %s", startTimeout)
}

// startWorker starts a worker of service app.
func (f *fleet) startWorker(id, zone string, flags ...string) (*process, error) {
	args := append([]string{"worker", "-id", id, "-zone", zone, "-store", f.store.address, "-address", net.JoinHostPort(f.newIP(), portWorker)}, flags...)
	p, err := f.start(id, nil, os.Args[0], args...)
	if err == nil {
		f.note("worker %s starts, process %d", id, p.cmd.Process.Pid)
	}
	return p, err
}

// route is a route of the configuration.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"path-prefix"`
	Type      string `json:"route-type"`
	TimeoutMs int    `json:"timeout-ms"`
	TargetMs  int    `json:"target-latency-ms"`
	GapMs     int    `json:"gap-aim-ms,omitempty"`
	Priority  int    `json:"priority"`
	Attempts  int    `json:"attempts"`
	Resumable bool   `json:"resumable"`
	Service   string `json:"service"`
}

const (
	host   = "desk.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
)

// routes are one route of each kind.
var routes = []route{
	{"push", host, "/push/", "non_idempotent", 8000, 500, 0, 2, 1, false, "app"},
	{"look", host, "/look/", "idempotent", 4000, 300, 0, 2, 2, false, "app"},
	{"chat", host, "/chat/", "stream", 8000, 500, 120, 1, 2, false, "app"},
	{"draft", host, "/draft/", "stream", 8000, 500, 120, 1, 2, true, "app"},
}

// configure writes the configuration to the store.
func (f *fleet) configure(version int) {
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "app", "health-path": "/healthz", "max-connections": 410, "protocol": "h1", "cold-start-s": 0.0, "cold-per-s": 0.0}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api-keys": []string{apiKey}, "priority": 1}},
	})
	offset := f.store.put("keyed.op", keyedRecord{"config", value})
	f.note("operator writes version %d, acknowledged as offset %d", version, offset)
}
