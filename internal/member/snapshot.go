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

// A snapshot stays due until an append is read back, and while the log fails. Each attempt sends
// the whole configuration. An attempt with every heartbeat of each entry would keep the log from
// recovering, so the time between attempts doubles.
const (
	minSnapshotBackoff = 5 * time.Second
	maxSnapshotBackoff = time.Minute
)

// snapshotState is what an entry knows about the snapshots in the log.
type snapshotState struct {
	lastOffset int64 // offset of the newest snapshot seen
	lastSeen   time.Duration
	appending  bool // an append is in flight
	// nextAttempt is when the next append may be attempted, backoff the delay after the last one.
	nextAttempt, backoff time.Duration
}

// recordAttempt records an append and sets the backoff.
func (s *snapshotState) recordAttempt(now time.Duration) {
	s.backoff = min(max(minSnapshotBackoff, 2*s.backoff), maxSnapshotBackoff)
	s.nextAttempt = now + s.backoff
}

// recordSnapshot records a snapshot in the log and resets the backoff.
func (s *snapshotState) recordSnapshot(offset int64, now time.Duration) {
	s.lastOffset = offset
	s.lastSeen = now
	s.nextAttempt, s.backoff = 0, 0
}

// snapshotIfDue appends a snapshot of the fold to the log well before the records that it was made
// from expire. Otherwise a process that starts later could not learn the configuration once every
// VM has been replaced.
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

// position returns this entry's index among the entries of the list, by name.
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
		_ = n.logger.Log("msg", "A snapshot could not be encoded.", "result", result.Label(api.ResultCode_INTERNAL), "err", err)
		return
	}
	n.snapshots.appending = true
	go func() {
		_, err := n.options.Platform.Append(context.Background(), data)
		n.post(func() { n.snapshots.appending = false })
		if err != nil {
			_ = n.logger.Log("msg", "A snapshot could not be appended to the log.", "result", logUnavailable, "err", err)
		}
	}()
}
