package member

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
)

// The log rejects appends while a snapshot is due. Without a backoff each entry would send the
// whole configuration with every heartbeat, 5 times a second, and the log would have to take all of
// them once it recovers.
func TestSnapshotAppendsBackOff(t *testing.T) {
	f := newFakePlatform(t)
	f.mark(t, "first", -1)
	f.full = true
	n := f.start(t, "e1", platform.RoleEntry, func(o *Options) { o.SnapshotRecords = 1 })
	eventually(t, "a first attempt", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.appends > 0 })
	time.Sleep(300 * time.Millisecond) // 30 heartbeats.
	f.set(func() {
		if f.appends > 1 {
			t.Errorf("%d appends in a third of a second, want at most 1", f.appends)
		}
	})
	backoffs := []time.Duration{}
	for range 6 {
		n.Do(func() {
			now := n.snapshots.nextAttempt
			n.snapshots.recordAttempt(now)
			backoffs = append(backoffs, n.snapshots.nextAttempt-now)
		})
	}
	if backoffs[0] < 2*minSnapshotBackoff || backoffs[5] != maxSnapshotBackoff {
		t.Errorf("backoffs %v", backoffs)
	}
}

// The platform's list of VMs is empty for a moment. If it were applied, an operator who waits for a
// change would be told that it is in force at all members, of which there are none, and links would
// be dropped.
func TestEmptyVMListIsIgnored(t *testing.T) {
	f := newFakePlatform(t)
	f.mark(t, "first", -1)
	n := f.start(t, "e1", platform.RoleEntry, nil)
	f.set(func() { f.vms = append(f.vms, platform.VM{ID: "e2", Role: platform.RoleEntry}) })
	eventually(t, "both VMs", func() bool { return len(n.State().VMs) == 2 && n.applied() == 0 })
	f.set(func() { f.vms = nil })
	n.Do(func() { n.setVMs(nil) })
	if len(n.State().VMs) != 2 {
		t.Error("an empty list of VMs was applied")
	}
	if p := n.Change("first"); p.State != config.Pending || len(p.Missing) != 1 {
		t.Errorf("state %v, missing %v", p.State, p.Missing)
	}
}

// The records of the log are so large that a response with the usual number of them is truncated.
// Unless the next read asks for fewer, the same read is repeated forever and the process never
// reaches the tail.
func TestReadSizeShrinksAfterAFailure(t *testing.T) {
	f := newFakePlatform(t)
	for i := range 40 {
		f.mark(t, "c"+string(rune('a'+i%26))+string(rune('a'+i/26)), int64(i-1))
	}
	f.maxRecords = 4
	n := f.start(t, "e1", platform.RoleEntry, nil)
	eventually(t, "the tail", func() bool { return n.applied() == 39 })
}

// The log no longer keeps the records before an offset, and there is neither a snapshot nor a peer.
// The search for a snapshot must not overload the log.
func TestSnapshotSearchIsRateLimited(t *testing.T) {
	f := newFakePlatform(t)
	f.mark(t, "first", -1)
	f.mark(t, "second", 0)
	f.oldest = 1
	n := f.start(t, "e1", platform.RoleEntry, nil)
	start := clock.Now()
	time.Sleep(300 * time.Millisecond)
	f.set(func() {
		if limit := int((clock.Now()-start)/n.options.LogPollInterval)*2 + 6; f.reads > limit {
			t.Errorf("%d reads, want at most %d", f.reads, limit)
		}
	})
	if n.State().Mode.Serves() {
		t.Error("the member serves without a configuration")
	}
}
