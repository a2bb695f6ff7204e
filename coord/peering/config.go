package peering

import "time"

// Config holds the time and rate limits of a Table. A zero field takes its default.
type Config struct {
	// SilentAfter is the time without a heartbeat after which an entry is no longer live. Default
	// 1.2 s: long enough that heartbeats lost by chance do not remove a live entry, and callers are
	// sent to a dead one for no longer than that.
	SilentAfter time.Duration
	// MaxMissedHeartbeats is the number of consecutive heartbeats that an entry may miss before
	// another one takes over as coordinator, if that is sooner than SilentAfter. Default 4. A
	// takeover from a live entry is safe: engines refuse its lower fence.
	MaxMissedHeartbeats int
	// SuccessorInterval is the time between two heartbeats to the successor. Default 100 ms.
	SuccessorInterval time.Duration
	// SuccessorSilence is the time without a heartbeat after which the successor of a coordinator takes
	// over. Default 350 ms: three lost heartbeats.
	SuccessorSilence time.Duration
	// MinHeartbeatInterval is the minimum time between two heartbeats to an entry. Default 150 ms,
	// a tenth of the time of a typical generation, so that others learn of requests in flight at
	// backend servers before they end.
	MinHeartbeatInterval time.Duration
	// MaxHeartbeatsPerSecond limits the heartbeats that a process sends per second to live entries,
	// as long as each gets one every third of SilentAfter. Default 60: as many arrive, and sending
	// and receiving them takes far less than 1% of one core of a small VM.
	MaxHeartbeatsPerSecond float64
	// ProbeInterval is the time between two heartbeats to a silent entry. Default 1 s.
	ProbeInterval time.Duration
	// StartupGrace is the time after process start during which an entry that has never been heard
	// may count as possibly live. Default 2 s: two probes, and time for their answers.
	StartupGrace time.Duration
	// ForgetAfter is the time without a heartbeat after which nothing is sent to an entry any more.
	// Default 60 s. If it comes back later, its own heartbeat adds it again.
	ForgetAfter time.Duration

	// FailureDomain is the failure domain of this entry.
	FailureDomain string
	// Capacity is the processor of this entry's VM, in thousandths of a core. The entries with the
	// largest capacity relay.
	Capacity uint32
	// MaxMesh is the number of other entries up to which heartbeats go from all to all. Default 64:
	// with more, they would take over 1% of one core of a small VM.
	MaxMesh int
	// EntriesPerRelay is the number of entries of a failure domain for each of its relays. Default 32.
	EntriesPerRelay int
	// RelayInterval is the time between two heartbeats to a relay, and between two of its digests.
	// Default 200 ms: a heartbeat passes two relays, so that others learn of it within 0.6 s.
	RelayInterval time.Duration
	// RelaySilence is the time without a digest after which an entry reads those of another relay.
	// Default 500 ms: the other one's first digest arrives well before SilentAfter.
	RelaySilence time.Duration
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.SilentAfter, 1200*time.Millisecond)
	set(&c.SuccessorInterval, 100*time.Millisecond)
	set(&c.SuccessorSilence, 350*time.Millisecond)
	set(&c.MinHeartbeatInterval, 150*time.Millisecond)
	set(&c.ProbeInterval, time.Second)
	set(&c.StartupGrace, 2*time.Second)
	set(&c.ForgetAfter, time.Minute)
	set(&c.RelayInterval, 200*time.Millisecond)
	set(&c.RelaySilence, 500*time.Millisecond)
	if c.MaxMesh == 0 {
		c.MaxMesh = 64
	}
	if c.EntriesPerRelay == 0 {
		c.EntriesPerRelay = 32
	}
	if c.MaxMissedHeartbeats == 0 {
		c.MaxMissedHeartbeats = 4
	}
	if c.MaxHeartbeatsPerSecond == 0 {
		c.MaxHeartbeatsPerSecond = 60
	}
	return c
}
