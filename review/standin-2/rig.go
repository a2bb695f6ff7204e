package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apricothub/apricothub/internal/bounded"
)

const (
	// heartbeat is the time between two registrations of a worker.
	heartbeat = 1200 * time.Millisecond
	// lapse is the silence after which its registration is removed.
	lapse = 3 * heartbeat
	// readyTimeout limits the start of the gateways.
	readyTimeout = 20 * time.Second
)

// setupError is panicked when the case cannot run.
type setupError struct{ err error }

func must(err error) {
	if err != nil {
		panic(setupError{err})
	}
}

// rig holds the processes of a case and its record.
type rig struct {
	trouble     bool
	gatewayPath string
	dir         string
	store       *store
	client      *http.Client
	begun       time.Time

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	gateways []*gateway
	workers  []*worker
	broken   []string
	// closers end what else was started, done is closed before that.
	closers   []func()
	done      chan struct{}
	closeOnce sync.Once
	// ports are those of the gateways, the same at all addresses.
	ports []int
	// ran are the requests that workers have begun to run.
	ran map[string]bool
}

func newRig(record, gatewayPath string, trouble bool) (*rig, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: trouble, gatewayPath: gatewayPath, dir: dir, begun: time.Now(), done: make(chan struct{}), ran: make(map[string]bool), file: file, record: bufio.NewWriter(file)}
	r.client = &http.Client{Transport: bounded.Transport(&http.Transport{DisableKeepAlives: true}), Timeout: 2 * time.Second}
	if r.store, err = startStore(); err != nil {
		return nil, err
	}
	r.note("trouble: %v", trouble)
	return r, nil
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *rig) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN: %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

// heard notes what a worker says, and which request it begins to run.
func (r *rig) heard(id, text string) {
	r.note("worker %s: %s", id, text)
	if rest, isRun := strings.CutPrefix(text, "runs "); isRun {
		attempt, _, _ := strings.Cut(rest, " ")
		r.mu.Lock()
		r.ran[attempt] = true
		r.mu.Unlock()
	}
}

// hasRun reports whether a worker has begun to run a request.
func (r *rig) hasRun(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[attempt]
}

// verdict writes the result of the case and returns whether the rule held.
func (r *rig) verdict() bool {
	r.mu.Lock()
	n := len(r.broken)
	r.mu.Unlock()
	r.note("the rule was broken %d times", n)
	fmt.Printf("broken %d times\n", n)
	return n == 0
}

// endOnSignal ends the case when it is told to stop.
func (r *rig) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	r.note("the case was stopped by a signal")
	r.close()
	os.Exit(statusCannot)
}

// close ends all processes that the rig started.
func (r *rig) close() { r.closeOnce.Do(r.closeAll) }

func (r *rig) closeAll() {
	close(r.done)
	for _, end := range r.closers {
		end()
	}
	for _, g := range r.gateways {
		_ = g.cmd.Process.Kill()
		if g.watched != nil {
			<-g.watched
			continue
		}
		_ = g.cmd.Wait()
	}
	for _, w := range r.workers {
		w.kill()
	}
	r.store.close()
	r.mu.Lock()
	_ = r.record.Flush()
	_ = r.file.Close()
	r.mu.Unlock()
	_ = os.RemoveAll(r.dir)
}

// gateway is a gateway process.
type gateway struct {
	name, ip, zone string
	callers        string
	ready          string
	log            string
	cmd            *exec.Cmd
	// watched is closed once a process that is watched has ended; nil for one that is not.
	watched chan struct{}
}

// startGateways starts gateways in the given zones and waits until all of them are ready.
func (r *rig) startGateways(zones ...string) {
	r.startGatewaysAt(newIPs(len(zones)), zones...)
}

// newIPs returns loopback addresses.
func newIPs(n int) []string {
	ips := make([]string, n)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(190), rand.IntN(250), 1+rand.IntN(250))
	}
	return ips
}

// startGatewaysAt does the same at given addresses. The ports are free on all of them.
func (r *rig) startGatewaysAt(ips []string, zones ...string) {
	if r.ports == nil {
		r.ports = freePorts(ips, 5)
	}
	for i, zone := range zones {
		r.startGateway(fmt.Sprintf("front-%s-%d", zone, i+1), zone, ips, i, r.ports)
	}
	for _, g := range r.gateways {
		r.awaitReady(g)
	}
	// Every gateway hears of all others before the traffic starts.
	time.Sleep(2 * time.Second)
}

func (r *rig) startGateway(name, zone string, ips []string, index int, ports []int) {
	address := func(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	ip := ips[index]
	var seeds []string
	for _, seed := range ips[:min(3, len(ips))] {
		seeds = append(seeds, address(seed, ports[3]))
	}
	text := fmt.Sprintf(`node-name=%s
role=gateway
machine-class=front
serves=front,control,directory
ip=%s
zone=%s
region=great-lakes
bind.front=%s
bind.readiness=%s
bind.control=%s
bind.directory=%s
internal-ports=%d,%d
seeds=%s
bootstrap=true
limits.cpu-share=0.4
limits.cores=1
limits.memory-mb=284
limits.file-descriptors=4100
discovery=platform
entry=directory
heartbeat-ms=%d
bounds.contact-ms=3000
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.outer-ms=5000
bounds.fail-closed=false
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.budget-slack=90
bounds.cold-over=1.5
bounds.cold-slack=5
bounds.evac-ms=5000
bounds.recover-s=12
bounds.pass-ms=120
bounds.stall_ms=1500
bounds.require-fencing=true
bounds.ttl_max_s=5
platform.address=%s
platform.form=log
platform.writes-per-s=400
platform.reads-per-s=2000
`, name, ip, zone, address(ip, ports[0]), address(ip, ports[1]), address(ip, ports[3]), address(ip, ports[2]),
		ports[4], ports[4], strings.Join(seeds, ","), heartbeat.Milliseconds(), r.store.address)
	path := filepath.Join(r.dir, name+".conf")
	must(os.WriteFile(path, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	must(err)
	cmd := exec.Command(r.gatewayPath, "gateway")
	cmd.Env = []string{"APRICOTHUB_CONFIG=" + path, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	must(cmd.Start())
	_ = log.Close()
	r.gateways = append(r.gateways, &gateway{
		name: name, ip: ip, zone: zone, callers: address(ip, ports[0]), ready: "http://" + address(ip, ports[1]) + "/apricothub/readyz", cmd: cmd,
		log: log.Name(),
	})
	r.note("gateway %s starts at %s", name, ip)
}

// watch notes the end of a gateway that ends by itself.
func (r *rig) watch(g *gateway) {
	g.watched = make(chan struct{})
	go func() {
		defer close(g.watched)
		err := g.cmd.Wait()
		select {
		case <-r.done:
		default:
			r.note("gateway %s has ended by itself: %v", g.name, err)
			for _, line := range g.panicLines() {
				r.note("gateway %s: %s", g.name, line)
			}
		}
	}()
}

// maxPanicLines limits the lines of a panic in the record.
const maxPanicLines = 8

// panicLines returns the first lines of the panic in the log of a gateway.
func (g *gateway) panicLines() []string {
	log, err := os.ReadFile(g.log)
	if err != nil {
		return nil
	}
	_, panicked, found := strings.Cut(string(log), "\npanic: ")
	if !found {
		return nil
	}
	lines := strings.Split("panic: "+panicked, "\n")
	return lines[:min(len(lines), maxPanicLines)]
}

func (r *rig) awaitReady(g *gateway) {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, g.ready, nil)
		must(err)
		resp, err := r.client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.note("gateway %s is ready", g.name)
			return
		}
	}
	panic(setupError{fmt.Errorf("gateway %s is not ready within %v", g.name, readyTimeout)})
}

// freePorts returns ports that are free on all addresses, for TCP and UDP.
func freePorts(ips []string, n int) []int {
	var ports []int
	for range 1000 {
		port := 20000 + rand.IntN(12000)
		if isFree(ips, port) {
			if ports = append(ports, port); len(ports) == n {
				return ports
			}
		}
	}
	panic(setupError{fmt.Errorf("no free ports")})
}

func isFree(ips []string, port int) bool {
	for _, ip := range ips {
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = p.Close()
	}
	return true
}
