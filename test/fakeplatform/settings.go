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

// Addresses gives out loopback addresses, so that each process of a test has one of its own
// and no test takes a port that another one is about to listen on.
type Addresses struct {
	// Net is the first two numbers, which no other test binary may use.
	Net  string
	next atomic.Int32
}

// IP returns an address that was not given out before.
func (a *Addresses) IP() string {
	n := a.next.Add(1)
	return fmt.Sprintf("%s.%d.%d", a.Net, n/250, 1+n%250)
}

// Ports of the processes, the same on each address.
const (
	PortCallers   = "8001"
	PortReadiness = "8002"
	PortDirectory = "8003"
	PortAdmin     = "8004"
	PortPeers     = 7340
)

// WriteSettings writes the settings file of an entry on an address, with the addresses of
// others, and returns the environment variable that names it to the process.
func (s *Store) WriteSettings(report harness.Reporter, dir, vm, ip string, seeds ...string) string {
	report.Helper()
	path := filepath.Join(dir, vm+".settings")
	if err := os.WriteFile(path, []byte(s.settingsFile(vm, ip, seeds...)), 0o600); err != nil {
		report.Fatalf("settings: %v", err)
	}
	return "APRICOTHUB_CONFIG=" + path
}

func (s *Store) settingsFile(vm, ip string, seeds ...string) string {
	at := func(port string) string { return net.JoinHostPort(ip, port) }
	for i, seed := range seeds {
		seeds[i] = net.JoinHostPort(seed, PortAdmin)
	}
	return fmt.Sprintf(`node-name=%s
ip=%s
zone=a
bind.front=%s
bind.readiness=%s
bind.directory=%s
bind.control=%s
internal-ports=%d
seeds=%s
heartbeat-ms=500
platform.address=%s
bounds.grace-s=4
bounds.retry-budget-ratio=0.2
bounds.budget-slack=90
bounds.cold-over=1.5
bounds.cold-slack=5
bounds.ttl_max_s=5
`, vm, ip, at(PortCallers), at(PortReadiness), at(PortDirectory), at(PortAdmin), PortPeers, strings.Join(seeds, ","), s.Address())
}
