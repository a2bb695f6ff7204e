package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keyed"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/platform"
)

// stateRequestInterval is the minimum time between two requests to other entries for records of the
// store.
const stateRequestInterval = 300 * time.Millisecond

// maxFreshAge is how long an answer of the store counts as fresh: the longest time between two
// answers in normal operation, and a margin. After that the other entries read for themselves, well
// before a configuration must be in force or a leaving server must be known.
const maxFreshAge = 1500 * time.Millisecond

// decideStoreReads decides whether this entry reads the store: because it is the reader of its
// failure domain, because it lacks one of the topics, or because no live entry has a fresh answer
// for both.
func (c *control) decideStoreReads(self *api.PeerBeat, live []*api.PeerBeat, now time.Duration) {
	isReader := peering.IsDomainReader(self, live)
	c.g.storeRetryInterval.Store(int64(storeRetryInterval(isReader, len(live)+1)))
	mustRead := isReader || !c.operators.Ready() || !c.servers.Ready()
	operatorsAge, serversAge := freshestAges(live)
	mustRead = mustRead || operatorsAge > maxFreshAge || serversAge > maxFreshAge
	if !mustRead {
		c.operatorsAt = max(c.operatorsAt, now-operatorsAge)
		c.serversAt = max(c.serversAt, now-serversAge)
		c.serversReadFailed = false
	}
	c.g.readsStore.Store(mustRead)
}

// storeRetriesPerSecond limits the calls per second and topic, while the store does not answer, of
// all entries together that are not the reader of their failure domain.
const storeRetriesPerSecond = 30

// storeRetryInterval returns the time between two calls of an entry while the store does not
// answer.
//
// During an outage of the store nobody has a fresh answer, and every entry reads for itself.
// Without this limit the calls would grow with the number of entries, and overload a store that has
// just recovered. The readers of the failure domains are not slowed down and notice the recovery at
// once; the others learn of it from them.
func storeRetryInterval(isReader bool, entries int) time.Duration {
	if isReader {
		return 0
	}
	return time.Duration(float64(entries) / storeRetriesPerSecond * float64(time.Second))
}

// isStoreUnreachable reports whether the store answers no entry, so that registrations may expire
// although their servers are alive.
//
// A read of this entry may fail while others succeed, as when its connection goes silent or the
// store rejects it. If the entry took the store for unreachable then, perhaps long after others
// have begun to read for it, it would go on sending to servers that have left. So a failed read
// counts only once nobody has a fresh answer, which is long before the first registration can
// expire.
func (c *control) isStoreUnreachable(live []*api.PeerBeat, now time.Duration) bool {
	_, serversAge := freshestAges(live)
	return c.serversReadFailed && min(serversAge, now-c.serversAt) > maxFreshAge
}

// freshestAges returns, for each topic, the age of the newest answer of the store to a live entry.
func freshestAges(live []*api.PeerBeat) (operatorsAge, serversAge time.Duration) {
	operatorsAge, serversAge = time.Hour, time.Hour
	for _, b := range live {
		if ms := b.GetOperatorsAgeMs(); ms >= 0 {
			operatorsAge = min(operatorsAge, time.Duration(ms)*time.Millisecond)
		}
		if ms := b.GetServersAgeMs(); ms >= 0 {
			serversAge = min(serversAge, time.Duration(ms)*time.Millisecond)
		}
	}
	return operatorsAge, serversAge
}

// requestPeerState fetches from another entry what it has read beyond this one.
//
// The store may reject this entry and serve the others, or others may read it for this one. Without
// this the entry would keep an old configuration, accept a key that was removed, and send to a
// failure domain that is out.
func (c *control) requestPeerState(live []*api.PeerBeat, now time.Duration) {
	if !c.mayRequestPeerState(now) {
		return
	}
	var ahead []*api.PeerBeat
	for _, b := range live {
		if c.isAhead(b) {
			ahead = append(ahead, b)
		}
	}
	if len(ahead) == 0 {
		return
	}
	c.stateRequested = true
	c.stateRequestedAt = now
	// A random one, so that not all entries call the same one.
	b := ahead[rand.IntN(len(ahead))]
	go c.g.fetchState(b.GetIp(), c.operators.NextOffset(), c.servers.NextOffset())
}

// mayRequestPeerState reports whether this entry may fetch records from another one now.
func (c *control) mayRequestPeerState(now time.Duration) bool {
	if c.stateRequested || now-c.stateRequestedAt < stateRequestInterval {
		return false
	}
	return !c.g.readsStore.Load() || c.isStale(now)
}

// isAhead reports whether an entry has read records beyond this one's.
func (c *control) isAhead(b *api.PeerBeat) bool {
	return b.GetOperatorsChanged() > c.operators.NextOffset() || b.GetServersChanged() > c.servers.NextOffset()
}

// isStale reports whether this entry's own reads of the store are stale, so that others may know
// more.
func (c *control) isStale(now time.Duration) bool {
	return c.serversReadFailed || !c.operators.Ready() || now-c.operatorsAt > maxFreshAge || now-c.serversAt > maxFreshAge
}

// fetchedState is the state of another entry, or nil with an error if it did not answer.
type fetchedState struct {
	from  string
	state *api.PeerState
	err   error
}

func (c *control) applyPeerState(f fetchedState) {
	c.stateRequested = false
	if f.err != nil {
		_ = level.Warn(c.logger).Log("msg", "The records of another entry could not be fetched.", "address", f.from, "err", f.err,
			"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
		return
	}
	now := clock.Now()
	c.applyTopic(platform.TopicOperators, c.operators, f.state.GetOperators(), now)
	c.applyTopic(platform.TopicServers, c.servers, f.state.GetServers(), now)
	_ = level.Info(c.logger).Log("msg", "Took what another entry holds.", "address", f.from,
		"operators_next", c.operators.NextOffset(), "servers_next", c.servers.NextOffset())
}

func (c *control) applyTopic(topic string, table *keyed.Table, t *api.KeyedTopic, now time.Duration) {
	if !t.GetKnown() {
		return
	}
	listing := &platform.Listing{End: t.GetNext()}
	for _, r := range t.GetRecords() {
		listing.Records = append(listing.Records, keyed.Record{Key: r.GetKey(), Value: r.GetValue(), Offset: r.GetOffset()})
	}
	c.applyRecords(topic, table, listing, nil, now)
}

// stateBeyond returns the records that this entry holds beyond what another one has read.
func (c *control) stateBeyond(req stateRequest) *api.PeerState {
	state := &api.PeerState{}
	if c.operatorsChangedAt > req.operators || req.operators == 0 {
		state.Operators = topicState(c.operators)
	}
	if c.serversChangedAt > req.servers || req.servers == 0 {
		state.Servers = topicState(c.servers)
	}
	return state
}

func topicState(table *keyed.Table) *api.KeyedTopic {
	t := &api.KeyedTopic{Known: table.Ready(), Next: table.NextOffset()}
	for _, r := range table.Records() {
		t.Records = append(t.Records, &api.KeyedRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return t
}
