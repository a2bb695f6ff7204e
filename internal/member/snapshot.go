package member

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/platform"
	"github.com/apricothub/apricothub/internal/result"
)

// While the log fails, or until an append is read back, a snapshot stays due. Each
// attempt sends the whole configuration, so that one with every heartbeat of each entry
// would keep the log from coming back: the time between attempts doubles.
const (
	snapshotRetry    = 5 * time.Second
	maxSnapshotRetry = time.Minute
)

// snapshotDuty is what an entry knows of the snapshots in the log.
type snapshotDuty struct {
	last   int64 // offset of the newest seen
	seen   time.Duration
	active bool // an append is under way
	// next is when an append may be tried, wait the time after the last one.
	next, wait time.Duration
}

// attempted notes an append.
func (d *snapshotDuty) attempted(now time.Duration) {
	d.wait = min(max(snapshotRetry, 2*d.wait), maxSnapshotRetry)
	d.next = now + d.wait
}

// found notes a snapshot in the log.
func (d *snapshotDuty) found(offset int64, now time.Duration) {
	d.last = offset
	d.seen = now
	d.next, d.wait = 0, 0
}

// snapshotIfDue appends the fold to the log again, well before the records it was
// made from expire. Without it a process that starts after that could not know the
// configuration, once every VM had been replaced.
func (n *Node) snapshotIfDue(now time.Duration) {
	if n.options.SnapshotEvery == 0 || n.snapshot.active || n.fold.Applied() < 0 || !n.state.Load().Mode.Serves() {
		return
	}
	if last := n.fold.LastSnapshot(); last != n.snapshot.last {
		n.snapshot.found(last, now)
	}
	if now < n.snapshot.next {
		return
	}
	rank := n.rank()
	byCount := config.SnapshotDue(n.fold.Applied(), n.snapshot.last, n.options.SnapshotEvery, rank)
	byAge := config.SnapshotDueByAge(now-n.snapshot.seen, n.options.SnapshotAge, rank)
	if !byCount && !byAge {
		return
	}
	n.appendSnapshot(now)
}

// rank is this entry's place among the live entries by name.
func (n *Node) rank() int {
	rank := 0
	for _, vm := range n.vms {
		if vm.Role == platform.RoleEntry && vm.ID < n.options.Self.GetVm() {
			rank++
		}
	}
	return rank
}

func (n *Node) appendSnapshot(now time.Duration) {
	n.snapshot.attempted(now)
	record := &api.Record{
		Author: n.options.Self.GetVm(),
		Body:   &api.Record_Snapshot{Snapshot: n.fold.Snapshot()},
	}
	data, err := proto.Marshal(record)
	if err != nil {
		_ = n.logger.Log("msg", "A snapshot could not be written.", "result", result.Label(api.ResultCode_INTERNAL), "err", err)
		return
	}
	n.snapshot.active = true
	go func() {
		_, err := n.options.Platform.Append(context.Background(), data)
		n.post(func() { n.snapshot.active = false })
		if err != nil {
			_ = n.logger.Log("msg", "A snapshot could not be appended.", "result", logUnavailable, "err", err)
		}
	}()
}
