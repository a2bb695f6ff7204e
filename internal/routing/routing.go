// Package routing holds the configuration that operators publish, and finds the route of a request
// and the team of a key in it.
//
// A Table is immutable. A new configuration creates a new Table that replaces the old one as a
// whole, so that one request never sees parts of two versions.
package routing

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Kind is how often a request of a route may be executed.
type Kind uint8

// Kinds of routes.
const (
	// AtMostOnce requests must not be executed twice.
	AtMostOnce Kind = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Stream requests generate output as a stream of events. They are executed once, unless the
	// route is resumable: then another backend server may continue after the last event.
	Stream
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "once"
	}
}

// Target is a service that receives a fraction of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight float64
}

// Route defines where requests for a host and path prefix go, and their limits.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Resumable  bool
	// Timeout is the longest time that a caller waits; zero means no limit.
	Timeout time.Duration
	// Objective is the target latency: a response within it is on time.
	Objective time.Duration
	// MaxPause is the longest time between two events of a stream for the stream to be on time.
	MaxPause time.Duration
	// Patience is how long callers of a stream wait for its next event before they hang up; zero if
	// unknown.
	Patience time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Attempts is the number of backend servers to which one request may be sent.
	Attempts int
	Targets  []Target
	// Anonymous reports whether requests need no key.
	Anonymous bool
}

// Repeatable reports whether a request may be retried after it may have been executed.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the service for a request according to the weights of the targets, or an
// empty string if the route has no target. random is a random number in [0, 1).
func (r *Route) PickService(random float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	remaining := random * sum
	for _, t := range r.Targets {
		remaining -= t.Weight
		if remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine configures the model engines of a service.
type Engine struct {
	// Concurrency is the number of requests in one batch.
	Concurrency int
	// KVTokens is the number of tokens that the memory of one engine holds.
	KVTokens int
	// StepTime is the duration of a token step of an idle engine, StepTimePerRequest the increase
	// for each request that is generating output.
	StepTime, StepTimePerRequest time.Duration
	// PromptTokensPerSecond is the rate at which an engine processes prompts.
	PromptTokensPerSecond float64
	// StepsPerPass is the number of token steps in one pass of all ranks of a group.
	StepsPerPass int
	// LayerSets, Experts, SlotsPerRank and MaxNewExperts define the shape of expert maps: the
	// number of layer sets and, for each layer set, the experts, the most that one rank holds and
	// the most that are new to it in one change of maps. All are zero if the engines have no
	// experts.
	LayerSets, Experts, SlotsPerRank, MaxNewExperts int
	// ExpertMB is the size of one expert in MB, LinkMbps the rate at which a rank loads it.
	ExpertMB, LinkMbps float64
	// FormTime is how long a group needs to open after a rank has returned.
	FormTime time.Duration
}

// OwnPart returns the least time that an engine with requests takes of its own in a pass, apart from
// the experts; zero if unknown.
func (e *Engine) OwnPart() time.Duration { return time.Duration(e.StepsPerPass) * e.StepTime }

// Service is a set of backend servers that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from all entries
	// together; zero means no limit.
	MaxConnections int
	// ColdTime is how long a backend server stays cold after its start, ColdRate the number of
	// requests per second that it can serve meanwhile; zero means no limit.
	ColdTime time.Duration
	ColdRate float64
	// Engine is nil if the backend servers are not model engines.
	Engine *Engine
}

// Limits limit what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the limits for one request.
	HeaderBytes, BodyBytes int
	// HeaderTimeout limits the time to read one header, IdleTimeout the time between requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Team is a customer's team, whose requests carry one of its keys.
type Team struct {
	Name string
	Keys []string
	// Priority takes precedence over the priority of the route; nil for none.
	Priority *int
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	// RequiresKeys means that requests need the key of a team, unless their route is anonymous, also while
	// there is no team. It is implied if there is one.
	RequiresKeys bool
	Teams        []Team
	Limits       Limits
}

// Table finds routes, services and teams of one configuration.
type Table struct {
	Version   int64
	Limits    Limits
	hosts     map[string][]*Route
	services  map[string]*Service
	keys      map[string]*Team
	maxPauses map[string]time.Duration
	callTimes map[string]time.Duration
	// ranks holds the ranks of requests by priorities, rankCounts the number of ranks by service.
	ranks        map[rankKey]int
	rankCounts   map[string]int
	teamCount    int
	requiresKeys bool
}

// NewTable returns the Table of a configuration, which must not change afterwards.
func NewTable(cfg *Config) *Table {
	t := &Table{
		Version:   cfg.Version,
		Limits:    cfg.Limits,
		hosts:     make(map[string][]*Route),
		services:  make(map[string]*Service, len(cfg.Services)),
		keys:      make(map[string]*Team),
		maxPauses: make(map[string]time.Duration),
		callTimes: make(map[string]time.Duration),

		teamCount:    len(cfg.Teams),
		requiresKeys: cfg.RequiresKeys || len(cfg.Teams) > 0,
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		for _, target := range r.Targets {
			if known := t.maxPauses[target.Service]; r.MaxPause > 0 && (known == 0 || r.MaxPause < known) {
				t.maxPauses[target.Service] = r.MaxPause
			}
			if known := t.callTimes[target.Service]; r.Kind != Stream && r.Objective > 0 && (known == 0 || r.Objective < known) {
				t.callTimes[target.Service] = r.Objective
			}
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Teams {
		for _, key := range cfg.Teams[i].Keys {
			// The empty key would be that of all requests without one.
			if key != "" {
				t.keys[key] = &cfg.Teams[i]
			}
		}
	}
	t.setRanks(cfg)
	return t
}

// Match returns the route of the host with the longest path prefix that matches, or nil. The host
// may include a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// MaxPause returns the longest pause between two events that all callers of a service's streams
// accept: the smallest MaxPause of the routes to the service, or zero if none has one.
func (t *Table) MaxPause(service string) time.Duration { return t.maxPauses[service] }

// CallTime returns the time in which a service is expected to complete a call: the smallest
// Objective of the routes to it whose answers are no streams, or zero if none has one.
func (t *Table) CallTime(service string) time.Duration { return t.callTimes[service] }

// Services returns all services by name.
func (t *Table) Services() map[string]*Service { return t.services }

// Team returns the team that holds a key, or nil.
func (t *Table) Team(key string) *Team { return t.keys[key] }

// TeamNames returns the names of all teams, in no order.
func (t *Table) TeamNames() []string {
	seen := make(map[string]bool, t.teamCount)
	var names []string
	for _, team := range t.keys {
		if !seen[team.Name] {
			seen[team.Name] = true
			names = append(names, team.Name)
		}
	}
	return names
}

// RequiresKeys reports whether requests need the key of a team, unless their route is anonymous.
func (t *Table) RequiresKeys() bool { return t.requiresKeys }
