// Package place decides which backend server gets a request.
//
// Each entry keeps one Table, for itself. It is made for many entries that share
// the same backend servers and hear of their load late: reports may be seconds
// old. The harm prevented is the herd, in which every entry sends to the backend
// server that the last report showed idle. Two random choices, compared by the
// entry's own work in flight and the reports together, keep the herd away
// without agreement between entries.
//
// The caller passes the time, since process start, into every method. A Table is
// not safe for use by several goroutines at once.
package place

import (
	"math/rand/v2"
	"time"

	"github.com/apricothub/apricothub/api"
)

// Config holds the limits of placement. A zero field takes its default.
type Config struct {
	// QueueRatio is the part of a backend server's limit that may wait at its
	// agent beyond the limit. Default 0.125: enough that no backend server idles
	// for the age of a report, and little enough that the wait stays short.
	QueueRatio float64
	// AffinitySlack is how much fuller, as a part of its limit, a backend server
	// that holds the prompt prefix or adapter may be than the best of the random
	// choices and still be taken. Default 0.25: past it a hot prefix would
	// overload one backend server while others idle.
	AffinitySlack float64
	// Backoff is how long a backend server that refused gets no new work, unless
	// a report reopens it. Default 250 ms, about the age of a report.
	Backoff time.Duration
	// SmoothingRatio is the ratio of the time over which reports are averaged to their
	// age. Default 4: an average over less swings with what entries did on seeing
	// the last reports. Reports that are hardly old are hardly averaged.
	SmoothingRatio float64
	// TrustStaleReports takes late reports at their word, instead of drawing them towards what
	// is usual for all servers. Off by default. It is for a table that holds some of the
	// servers only: each of them has other entries with other callers then, and stays as
	// full as it is for longer than reports are late. Drawn to the usual of four, the
	// fullest got more still: 0.9923 of the requests in time at 80% load, all without.
	TrustStaleReports bool
	// PrefixTableSize is the number of prompt prefixes remembered, rounded up to a
	// power of two. Default 65536, 1 MiB.
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

// Server is one backend server that may get work.
type Server struct {
	// VM names it.
	VM string
	// Domain is its failure domain.
	Domain string
	// Offers are the keys of what it serves, such as "model:x", "service:y" or
	// "adapter:z".
	Offers []string
	// Weight, 0 to 1, is the part of its limit to use. Zero means none: it is
	// out of service.
	Weight float64
}

// Report is what an agent last said of its backend server.
type Report struct {
	// Limit is the number of requests it may hold now, FullLimit when warm.
	Limit, FullLimit int
	// Running and Queued are the requests of all entries at the agent.
	Running, Queued int
	// WorkTime is the smoothed time of one request.
	WorkTime time.Duration
	// Age is how old the report is on arrival, as far as is known.
	Age time.Duration
	// Refusing says that the agent takes no new work.
	Refusing bool
	// Prefixes are hashes of prompt prefixes in its cache; partial and late.
	Prefixes []uint64
}

// Outcome is what became of one request that was sent to a backend server.
type Outcome struct {
	// Latency is the time to the first token, or of the whole call. Zero when
	// there was none.
	Latency time.Duration
	// Refused says that the agent did not take the request.
	Refused bool
	// RefusesAll says that it did not because it takes no new work from anybody.
	RefusesAll bool
	// Failed says that the backend server or its link failed.
	Failed bool
}

// Request is what Pick needs to know of a request.
type Request struct {
	// Offer is the key that the backend server must serve.
	Offer string
	// Prefix is the hash of the prompt's prefix; zero for none.
	Prefix uint64
	// Adapter is the key of the adapter, as in Server.Offers; empty for none.
	Adapter string
	// Avoid names backend servers that were tried already.
	Avoid []string
	// TimeLeft is the time until the request's deadline; zero for unknown.
	TimeLeft time.Duration
	// RelativeSize is the expected ratio of the request's work to the usual, such as by the
	// number of tokens it may generate; zero for unknown.
	RelativeSize float64
	// WithinShare says that the customer is within its share: when all backend
	// servers are full, the request may still wait at an agent, whose queue serves
	// it before those beyond their share.
	WithinShare bool
}

// Table is what one entry knows of the backend servers.
type Table struct {
	cfg     Config
	rng     *rand.Rand
	servers []*server
	byVM    map[string]*server
	// byID are the servers by their numbers, unused the numbers of those gone.
	byID    []*server
	freeIDs []int32
	offers  map[string]*offer
	// domainWeights holds the weights of failure domainWeights that are not 1.
	domainWeights map[string]float64
	prefixes      prefixTable
	// backoffs are the servers that refused, by the time they reopen. Backoff is
	// the same for all, so that the order of arrival is the order of time.
	backoffs []backoff
}

type backoff struct {
	until  time.Duration
	server *server
}

// server is one backend server with what is known of its load.
type server struct {
	Server
	id        int32
	report    Report
	hasReport bool
	suspect   bool
	// ownInFlight is this entry's work in flight; others is the smoothed work of the
	// other entries by the reports, the last of which came at heardAt.
	ownInFlight    int
	othersInFlight float64
	// expectedOthers is others as it is expectedOthers to be now.
	expectedOthers float64
	lastReportAt   time.Duration
	// ownHistory is this entry's work in flight at the last reports.
	ownHistory   history
	backoffUntil time.Duration
	memberships  []membership
	domainWeight float64
	// contribution is what the server adds to the sums of its offers now.
	contribution contribution
}

// membership is the place of a server in the lists of one offer.
type membership struct {
	offer *offer
	index int32
}

// state says in which list of its offers a server stands.
type state uint8

const (
	// closed is in none: out, suspect, refusing or just refused.
	closed state = iota
	// open may get work.
	open
	// full holds all it may, and only guaranteed requests may wait there.
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
	// averageWorkTime is the smoothed averageWorkTime time that warm servers report.
	averageWorkTime time.Duration
	// averageUtilization is the smoothed part of their limits that warm servers hold for others.
	averageUtilization float64
	// limit and free are sums over the servers that are up.
	limit, free int
}

// NewTable returns an empty table. The random source is the table's own.
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

// Set replaces the list of backend servers. What is known of those that stay is
// kept.
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

// assignID gives a new server a assignID of its own, by which prefixes name it. It keeps
// the assignID while it is in the list; a later one may have it, at the cost of a few
// wrong prefixes.
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

// SetDomainWeight multiplies the weights of a failure domain's backend servers,
// as package shift says while the domain leaves or returns.
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

// Spare says how many more requests the backend servers for an offer can take
// now, and how many they can hold together.
func (t *Table) Slots(key string, now time.Duration) (free, capacity int) {
	t.endBackoffs(now)
	o, ok := t.offers[key]
	if !ok {
		return 0, 0
	}
	return o.free, o.limit
}

// refusal says why no backend server for an offer is open.
func (o *offer) refusal() api.ResultCode {
	if o.upCount == 0 {
		return api.ResultCode_NO_BACKEND
	}
	if 2*o.coldCount > o.upCount {
		return api.ResultCode_COLD
	}
	return api.ResultCode_SATURATED
}
