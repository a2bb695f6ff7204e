package config

import "time"

// delayDivisor is the part of the interval by which each further entry waits longer
// for its turn: the next one steps in when those before it have died or stall.
const delayDivisor = 8

// maxDelays bounds the wait: entries past it share the last turn, and at most a few
// snapshots too many are appended.
const maxDelays = delayDivisor

// SnapshotDue tells whether an entry should append a snapshot: the fold went on by
// everyRecords records since the one at lastSnapshot, -1 for none. Rank is the
// entry's place among the live entries by name, from 0. Each rank waits an eighth
// of the interval longer, so that the entries do not all append at once and any
// one of them can be missing.
func SnapshotDue(applied, lastSnapshot, intervalRecords int64, position int) bool {
	interval := max(intervalRecords, 1)
	delay := max(interval/delayDivisor, 1)
	return applied-lastSnapshot >= interval+delay*int64(clampPosition(position))
}

// SnapshotDueByAge is SnapshotDue by time: without it the last snapshot itself
// would expire on a log that no operator writes to, and with it, once all VMs were
// replaced, the configuration. Age is the time since the last snapshot was seen in
// the log, every a quarter of the log's retention or less.
func SnapshotDueByAge(age, interval time.Duration, position int) bool {
	delay := interval / delayDivisor
	return age >= interval+delay*time.Duration(clampPosition(position))
}

func clampPosition(position int) int { return min(max(position, 0), maxDelays) }
