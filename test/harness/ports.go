package harness

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports are below the kernel's range of ephemeral ports and allocated in blocks. A block belongs to
// the test process that listens on its first port, so that two test processes on one machine never
// return the same port.
const (
	firstPort = 10000
	lastPort  = 32000
	blockSize = 100
)

// portBlock is the block in use. owners are the listeners on the first ports of the claimed blocks;
// they stay open until the process exits.
var portBlock struct {
	sync.Mutex
	owners     []net.Listener
	next, last int
}

// Address returns a free loopback address that no other call returns, in this process or in another
// one.
func Address(report Reporter) string {
	report.Helper()
	portBlock.Lock()
	defer portBlock.Unlock()
	for range lastPort - firstPort {
		if portBlock.next == portBlock.last && !claimBlock() {
			break
		}
		address := loopback(portBlock.next)
		portBlock.next++
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	report.Fatalf("no free port left in the range for tests")
	return ""
}

// claimBlock claims a block that no other process owns. The caller holds the lock.
func claimBlock() bool {
	for _, i := range rand.Perm((lastPort - firstPort) / blockSize) {
		first := firstPort + i*blockSize
		owner, err := net.Listen("tcp", loopback(first))
		if err == nil {
			portBlock.owners = append(portBlock.owners, owner)
			portBlock.next, portBlock.last = first+1, first+blockSize
			return true
		}
	}
	return false
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
