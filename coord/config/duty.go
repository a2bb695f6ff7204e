package config

import "time"

// delayDivisor sets the delay between two positions to this fraction of the interval. An entry
// appends only after the entries before it had time to do so, and takes over from them when they
// have died or stalled.
const delayDivisor = 8

// maxDelays limits the total delay. Entries beyond it become due at the same time, which costs a
// few redundant snapshots at most.
const maxDelays = delayDivisor

// SnapshotDue reports whether an entry should append a snapshot, because the fold has applied
// intervalRecords records since the snapshot at lastSnapshot (-1 for none). Position is the index
// of the entry among the live entries by name, from 0. Each position adds an eighth of the
// interval, so that the entries do not all append at once and any of them can be missing.
func SnapshotDue(applied, lastSnapshot, intervalRecords int64, position int) bool {
	interval := max(intervalRecords, 1)
	delay := max(interval/delayDivisor, 1)
	return applied-lastSnapshot >= interval+delay*int64(clampPosition(position))
}

// SnapshotDueByAge is SnapshotDue by time. Without it, the last snapshot would expire from a log
// that no operator writes to, and the configuration would be lost once all VMs were replaced. Age
// is the time since the last snapshot was seen in the log. The interval must be at most a quarter
// of the log's retention.
func SnapshotDueByAge(age, interval time.Duration, position int) bool {
	delay := interval / delayDivisor
	return age >= interval+delay*time.Duration(clampPosition(position))
}

func clampPosition(position int) int { return min(max(position, 0), maxDelays) }
