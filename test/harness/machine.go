package harness

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usageInterval is the time between two samples of a UsageMonitor.
const usageInterval = 20 * time.Millisecond

// Peak is the most that a process has used, as far as it was sampled.
type Peak struct {
	// Memory is its resident memory with the bytes that wait in its sockets, in bytes; Resident is the most
	// resident memory of its whole life, as the kernel counts it, and Queued the most that waited in its sockets.
	Memory, Resident, Queued int64
	// Descriptors is the number of its open descriptors.
	Descriptors int
}

// UsageMonitor samples what a process uses.
type UsageMonitor struct {
	process   *Process
	addresses []string
	stop      chan struct{}
	stopped   sync.WaitGroup
	peak      Peak
}

// MonitorUsage starts to sample a process that listens on IPv4 addresses.
func MonitorUsage(p *Process, addresses ...string) *UsageMonitor {
	m := &UsageMonitor{process: p, stop: make(chan struct{})}
	for _, address := range addresses {
		m.addresses = append(m.addresses, kernelAddress(address))
	}
	m.stopped.Go(func() {
		for {
			m.sample()
			select {
			case <-m.stop:
				return
			case <-time.After(usageInterval):
			}
		}
	})
	return m
}

// Stop ends the sampling and returns the peak.
func (m *UsageMonitor) Stop() Peak {
	close(m.stop)
	m.stopped.Wait()
	m.peak.Resident = max(m.peak.Resident, m.process.peakResident())
	m.peak.Memory = max(m.peak.Memory, m.peak.Resident)
	return m.peak
}

func (m *UsageMonitor) sample() {
	queued := queuedBytes(m.addresses)
	m.peak.Queued = max(m.peak.Queued, queued)
	m.peak.Memory = max(m.peak.Memory, m.process.Usage().Resident+queued)
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.process.PID())); err == nil {
		m.peak.Descriptors = max(m.peak.Descriptors, len(entries))
	}
}

// peakResident returns the peak of the resident memory that the kernel states, in bytes.
func (p *Process) peakResident() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// kernelAddress returns an address as the kernel's table of sockets shows it.
func kernelAddress(address string) string {
	host, port, _ := net.SplitHostPort(address)
	ip := slices.Clone(net.ParseIP(host).To4())
	slices.Reverse(ip)
	n, _ := strconv.Atoi(port)
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip)), n)
}

// queuedBytes returns the bytes that wait in the kernel for the process that listens on addresses to read, or for
// its peers to take.
func queuedBytes(addresses []string) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	total := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		const local, state, queues, listening = 1, 3, 4, "0A"
		fields := strings.Fields(lines.Text())
		if len(fields) <= queues || fields[state] == listening || !slices.Contains(addresses, fields[local]) {
			continue
		}
		sending, receiving, _ := strings.Cut(fields[queues], ":")
		for _, queue := range []string{sending, receiving} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			total += n
		}
	}
	return total
}
