package config

import "time"

// rankShare is the part of the interval by which each further entry waits longer
// for its turn: the next one steps in when those before it have died or stall.
const rankShare = 8

// maxRanks bounds the wait: entries past it share the last turn, and at most a few
// snapshots too many are appended.
const maxRanks = rankShare

// SnapshotDue tells whether an entry should append a snapshot: the fold went on by
// everyRecords records since the one at lastSnapshot, -1 for none. Rank is the
// entry's place among the live entries by name, from 0. Each rank waits an eighth
// of the interval longer, so that the entries do not all append at once and any
// one of them can be missing.
func SnapshotDue(applied, lastSnapshot, everyRecords int64, rank int) bool {
	every := max(everyRecords, 1)
	step := max(every/rankShare, 1)
	return applied-lastSnapshot >= every+step*int64(clampRank(rank))
}

// SnapshotDueByAge is SnapshotDue by time: without it the last snapshot itself
// would expire on a log that no operator writes to, and with it, once all VMs were
// replaced, the configuration. Age is the time since the last snapshot was seen in
// the log, every a quarter of the log's retention or less.
func SnapshotDueByAge(age, every time.Duration, rank int) bool {
	step := every / rankShare
	return age >= every+step*time.Duration(clampRank(rank))
}

func clampRank(rank int) int { return min(max(rank, 0), maxRanks) }
