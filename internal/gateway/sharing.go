package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keyed"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/platform"
)

const (
	// stateRequestInterval is the minimum time between two requests to other entries for records of the
	// store.
	stateRequestInterval = 300 * time.Millisecond
	// stateRetryInterval is the same after a request that was refused or failed.
	stateRetryInterval = 100 * time.Millisecond
)

// decideStoreReads decides whether this entry reads the store: because it is one of the readers for all,
// because it lacks one of the topics, or because no other entry has a fresh answer for both.
func (c *control) decideStoreReads(live []*api.PeerBeat, now time.Duration) {
	readers := peering.SelectStoreReaders(c.self(c.g.view.Load().ready), live)
	isReader := slices.Contains(readers, c.g.settings.IP)
	c.isFirstReader = isReader && readers[0] == c.g.settings.IP
	c.g.isStoreReader.Store(isReader)
	c.g.storeRetryInterval.Store(int64(storeRetryInterval(isReader, len(live)+1)))
	operatorsAge, serversAge := freshestAges(c.othersToRely(live, readers))
	isFresh := max(operatorsAge, serversAge) <= c.g.timing.maxFreshAge
	c.decideStartup(live, isFresh, now)
	if isFresh && !isReader {
		c.operatorsAt = max(c.operatorsAt, now-operatorsAge)
		c.serversAt = max(c.serversAt, now-serversAge)
		c.serversReadFailed = false
	}
	lacksTopic := !c.operators.Ready() || !c.servers.Ready()
	c.g.readsStore.Store(c.startup.isDone && (isReader || lacksTopic || !isFresh))
}

// othersToRely returns the entries whose answers of the store this entry relies on. If it reads the store,
// these are the readers for all and the entries before it. Otherwise two entries that both read, since the
// readers for all are cut off from the store, would both stop because of the other.
func (c *control) othersToRely(live []*api.PeerBeat, readers []string) []*api.PeerBeat {
	if !c.g.readsStore.Load() {
		return live
	}
	var others []*api.PeerBeat
	for _, b := range live {
		if b.GetIp() < c.g.settings.IP || slices.Contains(readers, b.GetIp()) {
			others = append(others, b)
		}
	}
	return others
}

// storeRetriesPerSecond limits the calls per second and topic, while the store does not answer, of
// all entries together that do not read it for all.
const storeRetriesPerSecond = 30

// storeRetryInterval returns the time between two calls of an entry while the store does not
// answer.
//
// During an outage of the store nobody has a fresh answer, and every entry reads for itself.
// Without this limit the calls would grow with the number of entries, and overload a store that has
// just recovered. The entries that read for all are not slowed down and notice the recovery at
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
	return c.serversReadFailed && min(serversAge, now-c.serversAt) > c.g.timing.maxFreshAge
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
	var ahead, near []*api.PeerBeat
	for _, b := range live {
		if !c.isAhead(b) {
			continue
		}
		ahead = append(ahead, b)
		if b.GetFailureDomain() == c.g.settings.FailureDomain {
			near = append(near, b)
		}
	}
	if len(ahead) == 0 {
		return
	}
	// Bytes between failure domains are dear, and the links of the first entries that know are small.
	if len(near) > 0 {
		ahead = near
	}
	c.stateRequested = true
	c.stateRequestedAt = now
	// A random one, so that not all entries call the same one.
	b := ahead[rand.IntN(len(ahead))]
	c.fetch(b.GetIp(), c.operators.NextOffset(), c.servers.NextOffset())
}

// mayRequestPeerState reports whether this entry may fetch records from another one now.
func (c *control) mayRequestPeerState(now time.Duration) bool {
	interval := stateRequestInterval
	if c.stateRequestFailed {
		interval = stateRetryInterval
	}
	if c.stateRequested || now-c.stateRequestedAt < interval {
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
	return c.serversReadFailed || !c.operators.Ready() || now-c.operatorsAt > c.g.timing.maxFreshAge || now-c.serversAt > c.g.timing.maxFreshAge
}

// fetchedState is the state of another entry, or nil with an error if it did not answer.
type fetchedState struct {
	from  string
	state *api.PeerState
	err   error
}

func (c *control) applyPeerState(f fetchedState, now time.Duration) {
	c.stateRequested, c.stateRequestFailed = false, f.err != nil
	if f.err != nil {
		_ = level.Warn(c.logger).Log("msg", "The records of another entry could not be fetched.", "address", f.from, "err", f.err,
			"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
		return
	}
	c.applyTopic(platform.TopicOperators, c.operators, f.state.GetOperators(), now)
	c.applyTopic(platform.TopicServers, c.servers, f.state.GetServers(), now)
	_ = level.Info(c.logger).Log("msg", "Took what another entry holds.", "address", f.from,
		"operators_next", c.operators.NextOffset(), "servers_next", c.servers.NextOffset())
}

func (c *control) applyTopic(topic string, table *keyed.Table, t *api.KeyedTopic, now time.Duration) {
	if !t.GetKnown() {
		return
	}
	records := make([]keyed.Record, 0, len(t.GetRecords()))
	for _, r := range t.GetRecords() {
		records = append(records, keyed.Record{Key: r.GetKey(), Value: r.GetValue(), Offset: r.GetOffset()})
	}
	if t.GetOnlyChanges() {
		c.applyChanges(topic, table.Merge(records, t.GetNext()), now)
		return
	}
	c.applyRecords(topic, table, &platform.Listing{Records: records, End: t.GetNext()}, nil, now)
}

// stateBeyond returns the records that this entry holds beyond what another one has read.
func (c *control) stateBeyond(req stateRequest) *api.PeerState {
	state := &api.PeerState{}
	if c.operatorsLog.End() > req.operators || req.operators == 0 {
		state.Operators = topicState(c.operators, c.operatorsLog, req.operators)
	}
	if c.serversLog.End() > req.servers || req.servers == 0 {
		state.Servers = topicState(c.servers, c.serversLog, req.servers)
	}
	return state
}

// topicState returns the records that have changed since an offset, or all of them if the other entry has
// read nothing yet or has read less than the log of changes covers.
func topicState(table *keyed.Table, changes *keyed.ChangeLog, since int64) *api.KeyedTopic {
	t := &api.KeyedTopic{Known: table.Ready(), Next: table.NextOffset()}
	records, ok := changes.Since(table, since)
	if t.OnlyChanges = ok && since > 0; !t.GetOnlyChanges() {
		records = table.Records()
	}
	for _, r := range records {
		t.Records = append(t.Records, &api.KeyedRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return t
}
