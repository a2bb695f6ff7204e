package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/platform"
)

const (
	// minStartDelay is how long a process that starts waits for what other entries know before it asks the
	// store: some exchanges of heartbeats and one of records.
	minStartDelay = 250 * time.Millisecond
	// startSpread is the time over which entries begin to ask the store if all start at once and none of
	// those that the settings name is there. The first ones tell the others.
	startSpread = 750 * time.Millisecond
	// maxToldWait is how long it waits at most for records that another entry has, and that has many others to
	// tell.
	maxToldWait = 2 * time.Second
)

// startup decides whether a process that starts asks the store for the records and the list of entries, or
// takes them from other entries.
//
// When all entries start at once and each asks the store, its calls and bytes grow with the number of entries
// and with its square. So only the entries that the settings name as seeds ask at once. The others ask a
// live entry, and the store only if none has told them everything after a while.
type startup struct {
	startedAt time.Duration
	// delay is how long it waits for other entries. behindSince is since when another one has records that
	// this one lacks; isBehind means that one has.
	delay       time.Duration
	behindSince time.Duration
	isBehind    bool
	// isDone means that it is decided.
	isDone bool
}

func newStartup(s *platform.Settings, now time.Duration) startup {
	u := startup{startedAt: now}
	others := slices.DeleteFunc(slices.Clone(s.Seeds), func(seed string) bool { return seed == s.IP })
	if isSeed := len(others) < len(s.Seeds); isSeed || len(others) == 0 {
		return u
	}
	// Few begin early, so that among many entries those that the seeds have not told in time are few too.
	u.delay = minStartDelay + time.Duration(float64(startSpread)*math.Sqrt(float64(peering.ServerHash(s.IP)%1000)/1000))
	return u
}

// decideStartup decides, once, between the store and other entries. While others have fresh answers of the store,
// there is nothing to ask it: what they have or will read, they tell.
func (c *control) decideStartup(live []*api.PeerBeat, isFresh bool, now time.Duration) {
	if c.startup.isDone {
		return
	}
	u := &c.startup
	if !u.isBehind && slices.ContainsFunc(live, c.isAhead) {
		u.behindSince, u.isBehind = now, true
	}
	isTold := c.operators.Ready() && c.servers.Ready() && c.peers.MembersKnown()
	hasWaited := now-u.startedAt >= u.delay
	mustAsk := hasWaited && !isFresh || u.isBehind && now-u.behindSince >= maxToldWait
	switch {
	// Without a fresh answer of the store, an entry that has decided reads it at once. The age of the answers is
	// often told a moment later than the records.
	case isTold && (isFresh || hasWaited):
		close(c.g.toldByPeers)
	case mustAsk:
		close(c.g.askStore)
	default:
		return
	}
	u.isDone = true
	_ = level.Info(c.logger).Log("msg", "It is decided whether the store is asked at the start.", "store_asked", !isTold,
		"took_ms", (now - u.startedAt).Milliseconds(), "live", len(live)+1, "store_fresh", isFresh, "behind", u.isBehind)
}
