package gateway

import (
	"fmt"
	"net/http"
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
	registry                      metrics.Registry
	requests, served, gone, again metrics.Counter
	late, resumed, ejected        metrics.Counter
	// silent counts VMs of backend servers that went silent, moved the requests taken from them.
	silent, moved                metrics.Counter
	took, waited, first, between metrics.Histogram
	// reads, writes and failed count calls of the platform's store.
	reads, writes, failed metrics.Counter

	mu sync.Mutex
	// teams are those counted by name.
	teams map[string]bool
}

func newCounters() *counters {
	r := metrics.NewRegistry()
	sample := textmetrics.NewSample
	return &counters{
		registry: r,
		requests: metrics.NewRegisteredCounter("gateway.requests", r),
		served:   metrics.NewRegisteredCounter("gateway.answers.whole", r),
		gone:     metrics.NewRegisteredCounter("gateway.callers.gone", r),
		again:    metrics.NewRegisteredCounter("gateway.attempts.again", r),
		late:     metrics.NewRegisteredCounter("gateway.answers.late", r),
		resumed:  metrics.NewRegisteredCounter("gateway.streams.resumed", r),
		ejected:  metrics.NewRegisteredCounter("gateway.servers.left.out", r),
		silent:   metrics.NewRegisteredCounter("gateway.servers.silent", r),
		moved:    metrics.NewRegisteredCounter("gateway.attempts.moved", r),
		reads:    metrics.NewRegisteredCounter("gateway.store.reads", r),
		writes:   metrics.NewRegisteredCounter("gateway.store.writes", r),
		failed:   metrics.NewRegisteredCounter("gateway.store.failed", r),
		took:     metrics.NewRegisteredHistogram("gateway.took.ms", r, sample()),
		waited:   metrics.NewRegisteredHistogram("gateway.waited.ms", r, sample()),
		first:    metrics.NewRegisteredHistogram("gateway.first.ms", r, sample()),
		between:  metrics.NewRegisteredHistogram("gateway.between.ms", r, sample()),
		teams:    make(map[string]bool),
	}
}

const (
	// kindPrefix and teamPrefix begin the names of the counters by kind and by team.
	kindPrefix = "gateway.kind."
	teamPrefix = "gateway.team."
	// mostTeams bounds the teams counted by name; the rest are summed under otherTeams.
	// Thousands of names would make the page longer than anybody reads.
	mostTeams  = 64
	otherTeams = "OTHERS"
	// latePrefix begins the names of the counters of late answers by what was late.
	latePrefix = "gateway.late."
)

// lateBy counts a late answer by what was late.
func (c *counters) lateBy(what lateness) {
	metrics.GetOrRegisterCounter(latePrefix+string(what), c.registry).Inc(1)
}

// ended counts a request by kind, team and whether the caller has a backend server's answer.
func (c *counters) ended(kind, team string, served bool) {
	outcome := ".refused"
	if served {
		outcome = ".served"
	}
	metrics.GetOrRegisterCounter(kindPrefix+kind+outcome, c.registry).Inc(1)
	metrics.GetOrRegisterCounter(teamPrefix+c.counted(team)+outcome, c.registry).Inc(1)
}

// counted is the name that a team is counted under.
func (c *counters) counted(team string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.teams[team] {
		return team
	}
	if len(c.teams) >= mostTeams {
		return otherTeams
	}
	c.teams[team] = true
	return team
}

// result counts an answer of the system's own.
func (c *counters) result(code api.ResultCode) {
	metrics.GetOrRegisterCounter(resultPrefix+result.Lookup(code).Name, c.registry).Inc(1)
}

// countedStore counts the calls of the platform's store.
type countedStore struct {
	http.RoundTripper
	counts *counters
}

// RoundTrip implements http.RoundTripper.
func (s countedStore) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodGet {
		s.counts.reads.Inc(1)
	} else {
		s.counts.writes.Inc(1)
	}
	resp, err := s.RoundTripper.RoundTrip(r)
	if err != nil || resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		s.counts.failed.Inc(1)
	}
	return resp, err
}

// serveMetrics writes a line name value for each metric, and the ages of what is believed.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	if v := g.view.Load(); v != nil {
		_, _ = fmt.Fprintf(w, "gateway.config.age.ms %d\ngateway.servers.age.ms %d\ngateway.entries %d\n",
			age(v.configAt), age(v.serversAt), v.entries)
	}
	_, _ = fmt.Fprintf(w, "gateway.store.reads.allowed %g\ngateway.store.writes.allowed %g\n",
		g.settings.Store.ReadsPerSecond, g.settings.Store.WritesPerSecond)
	textmetrics.Write(w, g.metrics.registry, metrics.DefaultRegistry)
}
