package gateway

import (
	"time"

	"github.com/apricothub/apricothub/platform"
)

const (
	// minOperatorsLongPoll is how long the store is asked to wait for a record of operators, and
	// maxOperatorsLongPoll is how long where a configuration may take longer to be in force.
	minOperatorsLongPoll = 1200 * time.Millisecond
	maxOperatorsLongPoll = 2 * time.Second
	// minServersInterval is the time between two reads of the registrations, and maxServersInterval is the
	// time where leaving servers may get work for longer. They change all the time, so that a long poll
	// would end with each heartbeat of any server.
	minServersInterval = 700 * time.Millisecond
	maxServersInterval = 1250 * time.Millisecond
	// longPollRatio and serversRatio are the parts of the time until a configuration must be in force, and
	// a leaving server known, that pass between two reads. The rest is for a reader that fails and for
	// passing on what is read.
	longPollRatio = 0.4
	serversRatio  = 0.25
	// freshMargin is how much older than the time between two answers of the store an answer may be.
	freshMargin = 300 * time.Millisecond
)

// storeTiming is when the store is read.
type storeTiming struct {
	operatorsLongPoll, serversInterval time.Duration
	// maxFreshAge is how long an answer of the store counts as fresh: the longest time between two
	// answers in normal operation, and a margin. After that the other entries read for themselves, well
	// before a configuration must be in force or a leaving server must be known.
	maxFreshAge time.Duration
}

// newStoreTiming returns the timing for the bounds that must be kept. Each call to the store is dear, and
// slower reads keep longer bounds as well.
func newStoreTiming(b platform.Bounds) storeTiming {
	part := func(ratio float64, bounds ...time.Duration) time.Duration {
		var least time.Duration
		for _, bound := range bounds {
			if bound > 0 && (least == 0 || bound < least) {
				least = bound
			}
		}
		return time.Duration(ratio * float64(least))
	}
	poll := part(longPollRatio, b.ConfigApply, b.Evacuate)
	poll = min(max(poll, minOperatorsLongPoll), maxOperatorsLongPoll)
	interval := part(serversRatio, b.Drain)
	return storeTiming{
		operatorsLongPoll: poll, serversInterval: min(max(interval, minServersInterval), maxServersInterval),
		maxFreshAge: poll + freshMargin,
	}
}
