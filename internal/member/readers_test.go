package member

import (
	"strconv"
	"testing"
	"time"

	"github.com/apricothub/apricothub/coord/fresh"
	"github.com/apricothub/apricothub/internal/platform"
)

func withTwoReaders(o *Options) { o.LogReaders = 2 }

// Six entries of one failure domain can read the log. Two read it continuously, and the others rely
// on what these pass on; otherwise the load on the platform would grow with each process. Then both
// readers stop at once. The others must read before their evidence is stale: no entry may refuse,
// and a change must arrive.
func TestLossOfLogReadersCausesNoRefusal(t *testing.T) {
	f := newFakePlatform(t)
	f.mark(t, "first", -1)
	var nodes []*testNode
	for i := range 6 {
		nodes = append(nodes, f.start(t, "e"+strconv.Itoa(i+1), platform.RoleEntry, withTwoReaders))
	}
	eventually(t, "service", allInMode(nodes, fresh.Fresh))
	eventually(t, "all links", func() bool {
		for _, n := range nodes {
			if len(n.State().Peers) != 5 {
				return false
			}
		}
		return true
	})
	time.Sleep(millis(fastLinks.GetFreshnessMs()))
	before, start := 0, time.Now()
	f.set(func() { before = f.reads })
	expectNoRefusal(t, "while all live", nodes)
	var reads int
	f.set(func() { reads = f.reads - before })
	// One reader makes one read each 20 ms.
	if limit := 3 * int(time.Since(start)/(20*time.Millisecond)); reads > limit {
		t.Errorf("the log was read %d times in %v, want at most %d", reads, time.Since(start), limit)
	}
	nodes[0].stop()
	nodes[1].stop()
	expectNoRefusal(t, "without readers", nodes[2:])
	f.mark(t, "second", -1)
	allApplied(t, 1, nodes[2:]...)
}
