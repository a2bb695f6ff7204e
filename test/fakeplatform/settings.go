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

// Range of the loopback addresses that NewLoopbackIP returns: 127.x.y.z with x in
// [firstSecondOctet, firstSecondOctet+secondOctets) and y, z in [1, hostsPerOctet].
const (
	firstSecondOctet = 64
	secondOctets     = 190
	hostsPerOctet    = 250
)

// assignedIPs counts the addresses that NewLoopbackIP has returned in this process.
var assignedIPs atomic.Int32

// NewLoopbackIP returns a loopback address that it has not returned before, so that each process of
// a test has its own.
//
// The second and third octets depend on the process id. Otherwise two test runs on one machine, for
// example of two checkouts, would use the same addresses: the entries of one run would fail to
// start, and its callers would talk to the entries of the other.
func NewLoopbackIP() string {
	pid, n := os.Getpid(), int(assignedIPs.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", firstSecondOctet+pid%secondOctets, 1+(pid/secondOctets+n/hostsPerOctet)%hostsPerOctet, 1+n%hostsPerOctet)
}

// Ports of the processes, the same on every address.
const (
	PortCallers   = "8001"
	PortReadiness = "8002"
	PortDirectory = "8003"
	PortAdmin     = "8004"
	PortPeers     = 7340
)

// Entry holds the settings of an entry.
type Entry struct {
	VM, IP, FailureDomain string
	// Store is the address of the platform's store.
	Store string
	// Seeds are the IPs of other entries.
	Seeds []string
	// Machine is the VM of the entry.
	Machine Machine
}

// Machine holds the limits of a VM.
type Machine struct {
	// MemoryMB is the memory of a process in MB, FileDescriptors the number of its descriptors; zero for no
	// limit.
	MemoryMB, FileDescriptors int
}

// settings returns the lines of the settings file.
func (m Machine) settings() string {
	var text strings.Builder
	if m.MemoryMB > 0 {
		fmt.Fprintf(&text, "limits.memory-mb=%d\n", m.MemoryMB)
	}
	if m.FileDescriptors > 0 {
		fmt.Fprintf(&text, "limits.file-descriptors=%d\n", m.FileDescriptors)
	}
	return text.String()
}

// RankAgent holds the settings of a rank agent.
type RankAgent struct {
	VM, FailureDomain string
	// Engine is the address of the engine; its IP is also the VM's.
	Engine string
	// Store is the address of the platform's store.
	Store string
	// Machine is the VM of the rank agent.
	Machine Machine
}

// WriteSettings writes the settings file of a rank agent and returns the environment variable
// (NAME=value) that points the process to it.
func (a RankAgent) WriteSettings(report harness.Reporter, dir string) string {
	report.Helper()
	ip, _, err := net.SplitHostPort(a.Engine)
	if err != nil {
		report.Fatalf("address of the engine: %v", err)
	}
	return writeSettings(report, dir, a.VM, fmt.Sprintf(`node-name=%s
ip=%s
zone=%s
internal-ports=%d
platform.address=%s
app=%s
%s`, a.VM, ip, a.FailureDomain, PortPeers, a.Store, a.Engine, a.Machine.settings()))
}

// WriteSettings writes the settings file of an entry and returns the environment variable
// (NAME=value) that points the process to it.
func (e Entry) WriteSettings(report harness.Reporter, dir string) string {
	report.Helper()
	return writeSettings(report, dir, e.VM, e.settings())
}

func writeSettings(report harness.Reporter, dir, vm, text string) string {
	report.Helper()
	path := filepath.Join(dir, vm+".settings")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		report.Fatalf("write settings: %v", err)
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
%s`, e.VM, e.IP, e.FailureDomain, address(PortCallers), address(PortReadiness), address(PortDirectory), address(PortAdmin), PortPeers, strings.Join(seeds, ","), e.Store, e.Machine.settings())
}
