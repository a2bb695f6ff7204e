// Package routing holds what operators have configured, and finds the route of a request
// and the team of a key in it.
//
// A Table is immutable: a new configuration makes a new Table, which is swapped in whole,
// so that one request never sees parts of two versions.
package routing

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds.
const (
	// AtMostOnce is for work that must not repeat: it runs at most once.
	AtMostOnce Kind = iota
	// Idempotent work may run again.
	Idempotent
	// Stream is generated output, a series of events. It runs once, unless the route is
	// resumable: then another backend server may go on behind the last event.
	Stream
)

// String names the kind, as logs show it.
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

// Target is a service that a route sends a part of its requests to.
type Target struct {
	Service string
	// Weight is the part, against the weights of the route's other targets.
	Weight float64
}

// Route says where the requests of one host and path go, and within which bounds.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Resumable  bool
	// Timeout is how long a caller is kept waiting at most; zero for no bound.
	Timeout time.Duration
	// Objective is the latency up to which an answer is on time.
	Objective time.Duration
	// MaxPause is the longest time between two events of a stream that is on time.
	MaxPause time.Duration
	// Priority is the rank of the requests, 0 first.
	Priority int
	// MaxAttempts is the number of backend servers that one request may be sent to.
	MaxAttempts int
	Targets     []Target
	// Anonymous routes need no key.
	Anonymous bool
}

// Repeatable says that a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the service for a request by the weights of the targets; at is a random
// number in [0, 1). Empty when the route has no target.
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

// Engine is what the configuration says of a service's model engines; nil for a plain
// service.
type Engine struct {
	// Concurrency is the number of requests in one batch.
	Concurrency int
	// KVTokens is the number of tokens that the memory of one engine holds.
	KVTokens int
	// StepTime is the time of a token step of an idle engine, StepTimePerRequest what each request
	// that is writing adds to it.
	StepTime, StepTimePerRequest time.Duration
	// PromptTokensPerSecond is the number of prompt tokens read a second.
	PromptTokensPerSecond float64
	// StepsPerPass is the number of token steps in one pass of all ranks.
	StepsPerPass int
	// LayerSets, Experts, SlotsPerRank and MaxNewExperts describe the expert maps: sets of layers, experts
	// in each, the most that one rank holds of them, and the most new ones in one change.
	// Zero where the engines have no experts.
	LayerSets, Experts, SlotsPerRank, MaxNewExperts int
	// ExpertMB is the size of one expert, MB, LinkMbps the rate at which one is loaded.
	ExpertMB, LinkMbps float64
	// FormTime is how long a group needs to open again after a rank came back.
	FormTime time.Duration
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one backend server takes from all
	// entries together; zero for no bound.
	MaxConnections int
	// ColdTime is how long a backend server stays cold after its start, ColdRate the
	// requests a second that it bears meanwhile; zero where it bears all.
	ColdTime time.Duration
	ColdRate float64
	Engine   *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time for one header, IdleTimeout that between requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Team is a customer's team, whose requests carry one of its keys.
type Team struct {
	Name string
	Keys []string
	// Priority goes before that of the route; nil for none.
	Priority *int
}

// Config is one version of what operators configured.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Table finds routes, services and teams of one configuration.
type Table struct {
	Version   int64
	Limits    Limits
	hosts     map[string][]*Route
	services  map[string]*Service
	keys      map[string]*Team
	maxPauses map[string]time.Duration
	teamCount int
}

// NewTable indexes a configuration. The configuration must not change afterwards.
func NewTable(cfg *Config) *Table {
	t := &Table{
		Version:   cfg.Version,
		Limits:    cfg.Limits,
		hosts:     make(map[string][]*Route),
		services:  make(map[string]*Service, len(cfg.Services)),
		keys:      make(map[string]*Team),
		maxPauses: make(map[string]time.Duration),
		teamCount: len(cfg.Teams),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		for _, target := range r.Targets {
			if known := t.maxPauses[target.Service]; r.MaxPause > 0 && (known == 0 || r.MaxPause < known) {
				t.maxPauses[target.Service] = r.MaxPause
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
			t.keys[key] = &cfg.Teams[i]
		}
	}
	return t
}

// Match returns the route with the longest prefix of the path, or nil. The host may carry
// a port.
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

// MaxPause returns the shortest pause that callers of a service's streams accept between two
// events; zero when no route says.
func (t *Table) MaxPause(service string) time.Duration { return t.maxPauses[service] }

// Services returns all services.
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

// HasTeams says that requests need a key.
func (t *Table) HasTeams() bool { return t.teamCount > 0 }
