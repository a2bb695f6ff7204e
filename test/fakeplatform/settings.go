package fakeplatform

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/apricothub/apricothub/test/harness"
)

// Loopback addresses that are given out: their second number from firstSecondOctet on, one of secondOctets,
// their third and fourth from 1 on.
const (
	firstSecondOctet = 64
	secondOctets     = 190
	hostsPerOctet    = 250
)

// assignedIPs counts the addresses that this process has given out.
var assignedIPs atomic.Int32

// NewLoopbackIP returns a loopback address that was not given out before, so that each process of a
// test has one of its own.
//
// Its net is that of this process by its id. Two runs of tests on one machine, as of two
// checkouts, would otherwise take the same addresses; the entries of one then do not start,
// and its callers talk to those of the other.
func NewLoopbackIP() string {
	pid, n := os.Getpid(), int(assignedIPs.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", firstSecondOctet+pid%secondOctets, 1+(pid/secondOctets+n/hostsPerOctet)%hostsPerOctet, 1+n%hostsPerOctet)
}

// Ports of the processes, the same on each address.
const (
	PortCallers   = "8001"
	PortReadiness = "8002"
	PortDirectory = "8003"
	PortAdmin     = "8004"
	PortPeers     = 7340
)

// Entry is what the settings of an entry say.
type Entry struct {
	VM, IP, FailureDomain string
	// Store is the address of the platform's store.
	Store string
	// Seeds are the IPs of other entries.
	Seeds []string
}

// RankAgent is what the settings of the process beside an engine say.
type RankAgent struct {
	VM, FailureDomain string
	// Engine is the engine's address, whose IP is the VM's.
	Engine string
	// Store is the address of the platform's store.
	Store string
}

// WriteSettings writes the settings file of a rank agent, and returns the environment variable
// that names it to the process.
func (a RankAgent) WriteSettings(report harness.Reporter, dir string) string {
	report.Helper()
	ip, _, err := net.SplitHostPort(a.Engine)
	if err != nil {
		report.Fatalf("settings: %v", err)
	}
	return writeSettings(report, dir, a.VM, fmt.Sprintf(`node-name=%s
ip=%s
zone=%s
internal-ports=%d
platform.address=%s
app=%s
`, a.VM, ip, a.FailureDomain, PortPeers, a.Store, a.Engine))
}

// WriteSettings writes the settings file of an entry, and returns the environment variable
// that names it to the process.
func (e Entry) WriteSettings(report harness.Reporter, dir string) string {
	report.Helper()
	return writeSettings(report, dir, e.VM, e.settings())
}

func writeSettings(report harness.Reporter, dir, vm, text string) string {
	report.Helper()
	path := filepath.Join(dir, vm+".settings")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		report.Fatalf("settings: %v", err)
	}
	return "APRICOTHUB_CONFIG=" + path
}

func (e Entry) settings() string {
	address := func(port string) string { return net.JoinHostPort(e.IP, port) }
	var seeds []string
	for _, seed := range e.Seeds {
		seeds = append(seeds, net.JoinHostPort(seed, PortAdmin))
	}
	return fmt.Sprintf(`node-name=%s
ip=%s
zone=%s
bind.front=%s
bind.readiness=%s
bind.directory=%s
bind.control=%s
internal-ports=%d
seeds=%s
heartbeat-ms=500
platform.address=%s
bounds.grace-s=8
bounds.retry-budget-ratio=0.2
bounds.budget-slack=90
bounds.cold-over=1.5
bounds.cold-slack=5
bounds.ttl_max_s=5
`, e.VM, e.IP, e.FailureDomain, address(PortCallers), address(PortReadiness), address(PortDirectory), address(PortAdmin), PortPeers, strings.Join(seeds, ","), e.Store)
}
