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

// stateRequestInterval is the least time between two questions to other entries for what the store
// would have said.
const stateRequestInterval = 300 * time.Millisecond

// maxFreshAge is how long what an entry was told by the store counts as fresh: the longest time
// between two answers in a calm, and a margin. Past it the others read for themselves, well
// before a configuration or a leaving server must be known.
const maxFreshAge = 1500 * time.Millisecond

// decideStoreReads decides whether this entry reads the store: as the one for its failure domain,
// while it does not know enough, or while nobody it hears has fresh word of both topics.
func (c *control) decideStoreReads(self *api.PeerBeat, live []*api.PeerBeat, now time.Duration) {
	isReader := peering.IsDomainReader(self, live)
	c.g.probeInterval.Store(int64(probeInterval(isReader, len(live)+1)))
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

// probesPerSecond bounds the calls a second of all entries together that are not their failure
// domain's reader, for each topic, while the store does not answer.
const probesPerSecond = 30

// probeInterval is the time between two calls of an entry while the store does not answer.
//
// Load: an outage of the store, in which nobody has fresh word and every entry reads for itself.
// Harm prevented: calls that grow with the entries, and meet a store that has just come back.
// The readers of the failure domains notice its return as soon as before, and the others hear
// of it from them.
func probeInterval(isReader bool, entries int) time.Duration {
	if isReader {
		return 0
	}
	return time.Duration(float64(entries) / probesPerSecond * float64(time.Second))
}

// isStoreUnreachable says that the store answers nobody, so that registrations may lapse although their
// servers live.
//
// Load: a read of this entry that fails while others read, as when its connection goes silent
// or the store turns it away. Harm prevented: the entry takes the store as away, perhaps for
// long after others have begun to read for it, and goes on sending to servers that have left.
// A read that fails counts only once nobody has fresh word, which is long before the first
// registration can lapse.
func (c *control) isStoreUnreachable(live []*api.PeerBeat, now time.Duration) bool {
	_, serversAge := freshestAges(live)
	return c.serversReadFailed && min(serversAge, now-c.serversAt) > maxFreshAge
}

// freshestAges returns the ages of the newest word that a live entry has from the store itself.
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
// Load: the store turns this entry away and serves the others, or others read it for this
// one. Harm prevented: it goes on by an old configuration, lets in a key that was taken
// away, and sends to a failure domain that is out.
func (c *control) requestPeerState(live []*api.PeerBeat, now time.Duration) {
	if c.stateRequested || now-c.stateRequestedAt < stateRequestInterval {
		return
	}
	var ahead []*api.PeerBeat
	for _, b := range live {
		if b.GetOperatorsChanged() > c.operators.NextOffset() || b.GetServersChanged() > c.servers.NextOffset() {
			ahead = append(ahead, b)
		}
	}
	if len(ahead) == 0 || c.g.readsStore.Load() && !c.isStale(now) {
		return
	}
	c.stateRequested = true
	c.stateRequestedAt = now
	// Any of them, so that one is not asked by all.
	b := ahead[rand.IntN(len(ahead))]
	go c.g.fetchState(b.GetIp(), c.operators.NextOffset(), c.servers.NextOffset())
}

// isStale says that this entry's own reads of the store are late: others may know more.
func (c *control) isStale(now time.Duration) bool {
	return c.serversReadFailed || !c.operators.Ready() || now-c.operatorsAt > maxFreshAge || now-c.serversAt > maxFreshAge
}

// fetchedState is what another entry holds, or nil when it did not answer.
type fetchedState struct {
	from  string
	state *api.PeerState
	err   error
}

func (c *control) applyPeerState(f fetchedState) {
	c.stateRequested = false
	if f.err != nil {
		_ = level.Warn(c.logger).Log("msg", "Another entry did not tell what it holds.", "address", f.from, "err", f.err,
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

// stateBeyond is what this entry holds beyond what another one has read.
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
