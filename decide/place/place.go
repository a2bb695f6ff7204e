// Package place decides which backend server gets a request.
//
// Each entry has its own Table. Many entries share the same backend servers, and learn of their
// load with a delay: reports may be seconds old. If every entry sent its requests to the server
// that the last report showed idle, all would overload that server together (the herd effect). The
// better of two random choices, compared by the entry's own requests in flight together with the
// reports, avoids this without coordination between entries.
//
// The caller passes the time since the process start to every method. A Table is not safe for
// concurrent use.
package place

import (
	"math/rand/v2"
	"time"

	"github.com/apricothub/apricothub/api"
)

// Config holds the limits of placement. A zero field takes its default.
type Config struct {
	// QueueRatio is the number of requests that may be queued at a backend server's agent beyond
	// its limit, as a ratio of the limit. Default 0.125: enough that no backend server idles for
	// the age of a report, and little enough that the queueing time stays short.
	QueueRatio float64
	// AffinitySlack is how much higher the utilization of a backend server that holds the prompt
	// prefix or adapter may be than that of the better random choice for it still to be chosen.
	// Default 0.25: beyond it, a hot prefix would overload one backend server while others idle.
	AffinitySlack float64
	// Backoff is how long a backend server that refused a request or failed gets no new requests.
	// Default 250 ms, about the age of a report.
	Backoff time.Duration
	// SmoothingRatio is the ratio of the time over which reports are averaged to their age. Default
	// 4: a shorter average oscillates with the entries' own reactions to the last reports. Reports
	// that are recent are hardly averaged.
	SmoothingRatio float64
	// TrustStaleReports uses stale reports as they are instead of discounting them towards the
	// average of all servers. Off by default. It is for a table that holds only a subset of the
	// servers: each server then also gets requests of other entries with other callers, and its
	// load outlasts the age of the reports. Discounted towards the average of four servers, the
	// fullest server got even more requests: at 80% load, 0.9923 of the requests were in time with
	// the discount, and all of them without it.
	TrustStaleReports bool
	// PrefixTableSize is the number of prompt prefixes remembered, rounded up to a power of two.
	// Default 65536, 1 MiB.
	PrefixTableSize int
}

func (c Config) withDefaults() Config {
	if c.QueueRatio <= 0 {
		c.QueueRatio = 0.125
	}
	if c.AffinitySlack <= 0 {
		c.AffinitySlack = 0.25
	}
	if c.Backoff <= 0 {
		c.Backoff = 250 * time.Millisecond
	}
	if c.SmoothingRatio <= 0 {
		c.SmoothingRatio = 4
	}
	if c.PrefixTableSize <= 0 {
		c.PrefixTableSize = 65536
	}
	return c
}

// Server is a backend server that may get requests.
type Server struct {
	// VM identifies the server.
	VM string
	// Domain is its failure domain.
	Domain string
	// Offers are the keys of what it serves, such as "model:x", "service:y" or "adapter:z".
	Offers []string
	// Weight, 0 to 1, is the fraction of its limit that may be used. Zero means that the server is
	// out of service.
	Weight float64
}

// Report is what an agent last reported of its backend server.
type Report struct {
	// Limit is the number of requests that the server may have now, FullLimit when it is warm.
	Limit, FullLimit int
	// Running and Queued are the requests of all entries at the agent.
	Running, Queued int
	// WorkTime is the average time of one request.
	WorkTime time.Duration
	// Age is the age of the report on arrival, as far as it is known.
	Age time.Duration
	// Refusing says that the agent accepts no new requests.
	Refusing bool
	// Prefixes are hashes of prompt prefixes in the server's cache; incomplete, and possibly stale.
	Prefixes []uint64
}

// Outcome is how one request that was sent to a backend server ended.
type Outcome struct {
	// Latency is the time to the first token, or of the whole call; zero if there was none.
	Latency time.Duration
	// Refused says that the agent did not accept the request.
	Refused bool
	// RefusesAll says that the agent accepts no new requests from anyone.
	RefusesAll bool
	// Failed says that the backend server or its link failed.
	Failed bool
}

// Request is what Pick needs to know about a request.
type Request struct {
	// Offer is the key that the backend server must serve.
	Offer string
	// Prefix is the hash of the prompt's prefix; zero for none.
	Prefix uint64
	// Adapter is the key of the adapter, as in Server.Offers; empty for none.
	Adapter string
	// Avoid names the backend servers that must not be chosen, as they were tried already.
	Avoid []string
	// TimeLeft is the time until the request's deadline; zero for unknown.
	TimeLeft time.Duration
	// RelativeSize is the expected ratio of the request's work to that of an average request, for
	// example by the number of tokens it may generate; zero for unknown.
	RelativeSize float64
	// WithinShare says that the customer is within its share: when all backend servers are full,
	// the request may still be queued at an agent, whose queue serves it before requests beyond a
	// share.
	WithinShare bool
}

// Table holds what one entry knows of the backend servers.
type Table struct {
	cfg     Config
	rng     *rand.Rand
	servers []*server
	byVM    map[string]*server
	// byID are the servers by their IDs; freeIDs are the IDs of removed servers.
	byID    []*server
	freeIDs []int32
	offers  map[string]*offer
	// domainWeights holds the weights of failure domains that are not 1.
	domainWeights map[string]float64
	prefixes      prefixTable
	// backoffs are the servers in backoff, ordered by the end of their backoff. Its length is the
	// same for all, so appending keeps the order.
	backoffs []backoff
}

type backoff struct {
	until  time.Duration
	server *server
}

// server is a backend server with what is known of its load.
type server struct {
	Server
	id        int32
	report    Report
	hasReport bool
	suspect   bool
	// ownInFlight are this entry's requests in flight; othersInFlight is the smoothed number of
	// those of the other entries by the reports, the last of which arrived at lastReportAt.
	ownInFlight    int
	othersInFlight float64
	// expectedOthers is othersInFlight as it is expected to be now.
	expectedOthers float64
	lastReportAt   time.Duration
	// ownHistory has this entry's requests in flight at the last reports.
	ownHistory   history
	backoffUntil time.Duration
	memberships  []membership
	domainWeight float64
	// contribution is what the server currently adds to the sums of its offers.
	contribution contribution
}

// membership is the position of a server in the lists of one offer.
type membership struct {
	offer *offer
	index int32
}

// state says in which list of its offers a server is.
type state uint8

const (
	// closed is in no list: out of service, suspect, refusing, in backoff, or full in cold start
	// with an unknown work time.
	closed state = iota
	// open may get requests.
	open
	// full has all the requests it may have; only requests within their share may be queued there.
	full
)

// contribution is what a server adds to the sums of an offer.
type contribution struct {
	isUp, isCold bool
	state        state
	limit, free  int
}

// offer is what is known of all backend servers for one key.
type offer struct {
	// byState are the servers by state; those that are closed are not listed.
	byState   [full + 1][]*server
	upCount   int
	coldCount int
	// averageWorkTime is the average of the work times that warm servers report.
	averageWorkTime time.Duration
	// averageUtilization is the average fraction of warm servers' limits that other entries use.
	averageUtilization float64
	// limit and free are sums over the servers that are up.
	limit, free int
}

// NewTable returns an empty table. It takes over the random source.
func NewTable(rng *rand.Rand, cfg Config) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg:           cfg,
		rng:           rng,
		byVM:          make(map[string]*server),
		offers:        make(map[string]*offer),
		domainWeights: make(map[string]float64),
		prefixes:      newPrefixTable(cfg.PrefixTableSize),
	}
}

// SetServers replaces the list of backend servers. What is known of those that stay is kept.
func (t *Table) SetServers(servers []Server) {
	old := t.byVM
	t.byVM = make(map[string]*server, len(servers))
	t.offers = make(map[string]*offer)
	t.servers = t.servers[:0]
	for _, s := range servers {
		t.add(s, old[s.VM])
	}
	for vm, s := range old {
		if t.byVM[vm] == nil {
			t.byID[s.id] = nil
			t.freeIDs = append(t.freeIDs, s.id)
		}
	}
}

// assignID gives a new server an ID by which the prefix table refers to it. The server keeps the ID
// while it is listed; a later server may reuse it, at the cost of a few wrong prefixes.
func (t *Table) assignID(s *server) {
	if last := len(t.freeIDs) - 1; last >= 0 {
		s.id = t.freeIDs[last]
		t.freeIDs = t.freeIDs[:last]
		t.byID[s.id] = s
		return
	}
	s.id = int32(len(t.byID))
	t.byID = append(t.byID, s)
}

func (t *Table) add(s Server, existing *server) {
	if existing == nil {
		existing = &server{}
		t.assignID(existing)
	}
	existing.Server = s
	existing.domainWeight = t.domainWeight(s.Domain)
	existing.contribution = contribution{}
	existing.memberships = existing.memberships[:0]
	for _, key := range s.Offers {
		existing.memberships = append(existing.memberships, membership{offer: t.offer(key), index: -1})
	}
	t.servers = append(t.servers, existing)
	t.byVM[s.VM] = existing
	t.update(existing)
}

func (t *Table) offer(key string) *offer {
	o, ok := t.offers[key]
	if !ok {
		o = &offer{}
		t.offers[key] = o
	}
	return o
}

func (t *Table) domainWeight(domain string) float64 {
	if w, ok := t.domainWeights[domain]; ok {
		return w
	}
	return 1
}

// SetDomainWeight sets the factor for the weights of a failure domain's backend servers, which
// package shift computes while the domain leaves or returns.
func (t *Table) SetDomainWeight(domain string, weight float64) {
	if t.domainWeight(domain) == weight {
		return
	}
	t.domainWeights[domain] = weight
	for _, s := range t.servers {
		if s.Domain == domain {
			s.domainWeight = weight
			t.update(s)
		}
	}
}

// Slots returns how many more requests the backend servers for an offer can take now, and how many
// they can have together.
func (t *Table) Slots(key string, now time.Duration) (free, capacity int) {
	t.endBackoffs(now)
	o, ok := t.offers[key]
	if !ok {
		return 0, 0
	}
	return o.free, o.limit
}

// refusal returns why no backend server for an offer is open.
func (o *offer) refusal() api.ResultCode {
	if o.upCount == 0 {
		return api.ResultCode_NO_BACKEND
	}
	if 2*o.coldCount > o.upCount {
		return api.ResultCode_COLD
	}
	return api.ResultCode_SATURATED
}
