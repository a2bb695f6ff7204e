package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/textmetrics"
)

// resultPrefix begins the names of the counters of results.
const resultPrefix = "gateway.results."

// counters are the metrics of a gateway.
type counters struct {
	registry                               metrics.Registry
	requests, served, callersGone, retries metrics.Counter
	late, resumed, ejected                 metrics.Counter
	// uncharged counts further attempts that no retry budget was charged for, since no backend server had got
	// the request.
	uncharged metrics.Counter
	// limited counts rate limits that backend servers began to state or changed, rested their requests for
	// rest.
	limited, rested metrics.Counter
	// divisions counts how often the slots of a service began to be divided by urgency.
	divisions metrics.Counter
	// quarantined counts how often a part of prompts was quarantined.
	quarantined metrics.Counter
	// silentVMs counts VMs of backend servers that went silent. moved counts the requests that were moved
	// to another server, movedFromSlow those of them that left a slow one.
	silentVMs, moved, movedFromSlow     metrics.Counter
	took, waited, firstEvent, eventGaps metrics.Histogram
	// storeReads, storeWrites and storeFailures count calls of the platform's store.
	storeReads, storeWrites, storeFailures metrics.Counter
	// storeBytes counts the bytes that the store has answered.
	storeBytes metrics.Counter
	// heartbeats counts the heartbeats sent, heartbeatBytes their bytes and farHeartbeatBytes those of them
	// to other failure domains. recordBytes counts the bytes of the store's records sent to other entries.
	heartbeats, heartbeatBytes, farHeartbeatBytes, recordBytes metrics.Counter

	mu sync.Mutex
	// teams are the teams that are counted by name.
	teams map[string]bool
}

func newCounters() *counters {
	r := metrics.NewRegistry()
	sample := textmetrics.NewSample
	return &counters{
		registry:      r,
		requests:      metrics.NewRegisteredCounter("gateway.requests", r),
		served:        metrics.NewRegisteredCounter("gateway.answers.whole", r),
		callersGone:   metrics.NewRegisteredCounter("gateway.callers.gone", r),
		retries:       metrics.NewRegisteredCounter("gateway.attempts.again", r),
		uncharged:     metrics.NewRegisteredCounter("gateway.attempts.again.uncharged", r),
		late:          metrics.NewRegisteredCounter("gateway.answers.late", r),
		resumed:       metrics.NewRegisteredCounter("gateway.streams.resumed", r),
		ejected:       metrics.NewRegisteredCounter("gateway.servers.left.out", r),
		limited:       metrics.NewRegisteredCounter("gateway.servers.limited", r),
		rested:        metrics.NewRegisteredCounter("gateway.servers.rested", r),
		silentVMs:     metrics.NewRegisteredCounter("gateway.servers.silent", r),
		moved:         metrics.NewRegisteredCounter("gateway.attempts.moved", r),
		movedFromSlow: metrics.NewRegisteredCounter("gateway.attempts.moved.slow", r),
		divisions:     metrics.NewRegisteredCounter("gateway.urgency.divided", r),
		quarantined:   metrics.NewRegisteredCounter("gateway.prompts.quarantined", r),
		storeReads:    metrics.NewRegisteredCounter("gateway.store.reads", r),
		storeWrites:   metrics.NewRegisteredCounter("gateway.store.writes", r),
		storeFailures: metrics.NewRegisteredCounter("gateway.store.failed", r),
		storeBytes:    metrics.NewRegisteredCounter("gateway.store.bytes", r),
		heartbeats:    metrics.NewRegisteredCounter("gateway.heartbeats", r),

		heartbeatBytes:    metrics.NewRegisteredCounter("gateway.heartbeats.bytes", r),
		farHeartbeatBytes: metrics.NewRegisteredCounter("gateway.heartbeats.bytes.far", r),
		recordBytes:       metrics.NewRegisteredCounter("gateway.records.bytes", r),

		took:       metrics.NewRegisteredHistogram("gateway.took.ms", r, sample()),
		waited:     metrics.NewRegisteredHistogram("gateway.waited.ms", r, sample()),
		firstEvent: metrics.NewRegisteredHistogram("gateway.first.ms", r, sample()),
		eventGaps:  metrics.NewRegisteredHistogram("gateway.between.ms", r, sample()),
		teams:      make(map[string]bool),
	}
}

const (
	// kindPrefix and teamPrefix begin the names of the counters by kind and by team.
	kindPrefix = "gateway.kind."
	teamPrefix = "gateway.team."
	// maxTeams limits the teams counted by name; the rest are summed under otherTeams. Thousands of
	// names would make the metrics page too long to read.
	maxTeams   = 64
	otherTeams = "OTHERS"
	// latePrefix begins the names of the counters of late answers by the objective that was missed.
	latePrefix = "gateway.late."
	// rankPrefix begins the names of the counters by rank.
	rankPrefix = "gateway.rank."
)

// countLate counts a late answer by the objective that it missed, and by rank.
func (c *counters) countLate(missed lateness, rank int) {
	metrics.GetOrRegisterCounter(latePrefix+string(missed), c.registry).Inc(1)
	metrics.GetOrRegisterCounter(rankName(rank)+".late", c.registry).Inc(1)
}

// rankName returns the beginning of the names of the counters of a rank.
func rankName(rank int) string { return rankPrefix + strconv.Itoa(min(rank, maxRanks-1)) }

// countEnded counts a request by kind, team, rank and whether the caller got a backend server's answer.
func (c *counters) countEnded(kind, team string, rank int, served bool) {
	outcome := ".refused"
	if served {
		outcome = ".served"
	}
	metrics.GetOrRegisterCounter(rankName(rank)+outcome, c.registry).Inc(1)
	metrics.GetOrRegisterCounter(kindPrefix+kind+outcome, c.registry).Inc(1)
	metrics.GetOrRegisterCounter(teamPrefix+c.teamLabel(team)+outcome, c.registry).Inc(1)
}

// teamLabel returns the name that a team is counted under.
func (c *counters) teamLabel(team string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.teams[team] {
		return team
	}
	if len(c.teams) >= maxTeams {
		return otherTeams
	}
	c.teams[team] = true
	return team
}

// countResult counts an answer that this system gave itself.
func (c *counters) countResult(code api.ResultCode) {
	metrics.GetOrRegisterCounter(resultPrefix+result.Lookup(code).Name, c.registry).Inc(1)
}

// countingTransport counts the calls of the platform's store.
type countingTransport struct {
	http.RoundTripper
	counters *counters
}

// RoundTrip implements http.RoundTripper.
func (s countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodGet {
		s.counters.storeReads.Inc(1)
	} else {
		s.counters.storeWrites.Inc(1)
	}
	resp, err := s.RoundTripper.RoundTrip(r)
	if err != nil || resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		s.counters.storeFailures.Inc(1)
	}
	if err == nil {
		resp.Body = &countingBody{resp.Body, s.counters.storeBytes}
	}
	return resp, err
}

// countingBody counts the bytes read from a body.
type countingBody struct {
	io.ReadCloser
	bytes metrics.Counter
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Inc(int64(n))
	return n, err
}

// serveMetrics writes a line name value for each metric, with the ages of the configuration and the
// registrations.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	if v := g.view.Load(); v != nil {
		_, _ = fmt.Fprintf(w, "gateway.config.age.ms %d\ngateway.servers.age.ms %d\ngateway.entries %d\n",
			ageMillis(v.configAt), ageMillis(v.serversAt), v.entries)
	}
	_, _ = fmt.Fprintf(w, "gateway.store.reads.allowed %g\ngateway.store.writes.allowed %g\n",
		g.settings.Store.ReadsPerSecond, g.settings.Store.WritesPerSecond)
	textmetrics.Write(w, g.metrics.registry, metrics.DefaultRegistry)
}
