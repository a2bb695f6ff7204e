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
	minSnapshotBackoff = 5 * time.Second
	maxSnapshotBackoff = time.Minute
)

// snapshotState is what an entry knows of the snapshots in the log.
type snapshotState struct {
	lastOffset int64 // offset of the newest seen
	lastSeen   time.Duration
	appending  bool // an append is under way
	// nextAttempt is when an append may be tried, backoff the time after the last one.
	nextAttempt, backoff time.Duration
}

// recordAttempt notes an append.
func (d *snapshotState) recordAttempt(now time.Duration) {
	d.backoff = min(max(minSnapshotBackoff, 2*d.backoff), maxSnapshotBackoff)
	d.nextAttempt = now + d.backoff
}

// recordSnapshot notes a snapshot in the log.
func (d *snapshotState) recordSnapshot(offset int64, now time.Duration) {
	d.lastOffset = offset
	d.lastSeen = now
	d.nextAttempt, d.backoff = 0, 0
}

// snapshotIfDue appends the fold to the log again, well before the records it was
// made from expire. Without it a process that starts after that could not know the
// configuration, once every VM had been replaced.
func (n *Node) snapshotIfDue(now time.Duration) {
	if n.options.SnapshotRecords == 0 || n.snapshots.appending || n.fold.Applied() < 0 || !n.state.Load().Mode.Serves() {
		return
	}
	if last := n.fold.LastSnapshot(); last != n.snapshots.lastOffset {
		n.snapshots.recordSnapshot(last, now)
	}
	if now < n.snapshots.nextAttempt {
		return
	}
	position := n.position()
	byCount := config.SnapshotDue(n.fold.Applied(), n.snapshots.lastOffset, n.options.SnapshotRecords, position)
	byAge := config.SnapshotDueByAge(now-n.snapshots.lastSeen, n.options.SnapshotMaxAge, position)
	if !byCount && !byAge {
		return
	}
	n.appendSnapshot(now)
}

// position is this entry's place among the live entries by name.
func (n *Node) position() int {
	position := 0
	for _, vm := range n.vms {
		if vm.Role == platform.RoleEntry && vm.ID < n.options.Self.GetVm() {
			position++
		}
	}
	return position
}

func (n *Node) appendSnapshot(now time.Duration) {
	n.snapshots.recordAttempt(now)
	record := &api.Record{
		Author: n.options.Self.GetVm(),
		Body:   &api.Record_Snapshot{Snapshot: n.fold.Snapshot()},
	}
	data, err := proto.Marshal(record)
	if err != nil {
		_ = n.logger.Log("msg", "A snapshot could not be written.", "result", result.Label(api.ResultCode_INTERNAL), "err", err)
		return
	}
	n.snapshots.appending = true
	go func() {
		_, err := n.options.Platform.Append(context.Background(), data)
		n.post(func() { n.snapshots.appending = false })
		if err != nil {
			_ = n.logger.Log("msg", "A snapshot could not be appended.", "result", logUnavailable, "err", err)
		}
	}()
}
