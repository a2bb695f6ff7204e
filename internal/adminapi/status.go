package adminapi

import "github.com/apricothub/apricothub/api"

// Status is what one process knows of the system.
type Status struct {
	Process  Process      `json:"process"`
	Log      LogStatus    `json:"log"`
	Lists    []ListStatus `json:"lists"`
	Marks    []Mark       `json:"marks"`
	Members  []Member     `json:"members"`
	Backends []Backend    `json:"backends"`
	Groups   []Group      `json:"groups"`
}

// Process is the process that answers.
type Process struct {
	VM string `json:"vm"`
	// Role is entry or agent.
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   string `json:"incarnation"`
	Version       string `json:"version"`
	UptimeMs      int64  `json:"uptime_ms"`
	// Applied is the newest offset of the log that it has applied; -1 for none.
	Applied int64 `json:"applied"`
	// Freshness says whether it trusts its configuration: "fresh", "outage"
	// (stale, and so is everybody: it goes on), "isolated" or "starting".
	Freshness string `json:"freshness"`
	// EvidenceAgeMs is the age of its newest evidence that Applied is the tail;
	// -1 for never.
	EvidenceAgeMs int64 `json:"evidence_age_ms"`
	Ready         bool  `json:"ready"`
	Draining      bool  `json:"draining"`
}

// LogStatus is the platform's log as this process sees it.
type LogStatus struct {
	Reachable bool `json:"reachable"`
	// DownMs is the time since it last answered; 0 while it does.
	DownMs int64 `json:"down_ms"`
}

// ListStatus is one list in force.
type ListStatus struct {
	Name     string `json:"name"`
	Offset   int64  `json:"offset"`
	Sections int    `json:"sections"`
	Author   string `json:"author,omitempty"`
	ChangeID string `json:"change_id,omitempty"`
}

// Mark is one mark in force.
type Mark struct {
	// Target is domain or vm.
	Target string `json:"target"`
	Name   string `json:"name"`
	Out    bool   `json:"out"`
	Offset int64  `json:"offset"`
}

// Member is one process of the system, as this process last heard of it.
type Member struct {
	VM            string `json:"vm"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   string `json:"incarnation"`
	Version       string `json:"version"`
	Applied       int64  `json:"applied"`
	EvidenceAgeMs int64  `json:"evidence_age_ms"`
	// Link is up, suspect or down; empty where no link is meant to be.
	Link     string `json:"link"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	// Leaving says that the platform's list calls the VM leaving.
	Leaving bool `json:"leaving"`
}

// Backend is one backend server, as its agent last reported it.
type Backend struct {
	VM            string   `json:"vm"`
	FailureDomain string   `json:"failure_domain"`
	Service       string   `json:"service,omitempty"`
	Model         string   `json:"model,omitempty"`
	ModelVersion  string   `json:"model_version,omitempty"`
	Adapters      []string `json:"adapters,omitempty"`
	// Limit is the concurrency limit now, FullLimit the one when warm.
	Limit     int32 `json:"limit"`
	FullLimit int32 `json:"full_limit"`
	Running   int32 `json:"running"`
	Queued    int32 `json:"queued"`
	Cold      bool  `json:"cold"`
	// Refusing names the result code of new work; empty when it is taken.
	Refusing string `json:"refusing,omitempty"`
	// Silent says that its engine has not answered its agent for some seconds.
	Silent bool `json:"silent"`
	// WorkMs is the smoothed time of one piece of work.
	WorkMs float64 `json:"work_ms"`
	Group  string  `json:"group,omitempty"`
	// ReportAgeMs is the age of the report.
	ReportAgeMs int64 `json:"report_age_ms"`
}

// Group is one expert-parallel group.
type Group struct {
	Name string `json:"name"`
	// Coordinator is the VM that assigns step ranges; empty while none reports the group.
	Coordinator string `json:"coordinator"`
	Ballot      uint64 `json:"ballot"`
	MapVersion  uint64 `json:"map_version"`
	// Step is the newest step that all ranks have finished.
	Step uint64 `json:"step"`
	// StepAgeMs is the time since that changed, as the process that answers saw it.
	StepAgeMs int64 `json:"still_ms"`
	// SkewMs is the time between the first and the last rank in a step.
	SkewMs float64 `json:"skew_ms"`
	// Agents counts those of the group that answer, of AgentsAll.
	Agents    int `json:"agents"`
	AgentsAll int `json:"agents_all"`
	// SlowRanks counts the ranks that stay more than 3 times slower than the group, and
	// Slowest is the slowest of them; nil when there is none.
	SlowRanks int       `json:"slow_ranks"`
	Slowest   *SlowRank `json:"slowest,omitempty"`
}

// SlowRank is a rank that stays slower than its group.
type SlowRank struct {
	Rank int    `json:"rank"`
	VM   string `json:"vm"`
	// Slowdown is its time for a token over the usual one of the group.
	Slowdown float64 `json:"pace"`
}

// GroupFromStatus is how a coordinator's report of its group is shown.
func GroupFromStatus(name, coordinator string, g *api.GroupStatus) Group {
	group := Group{
		Name:        name,
		Coordinator: coordinator,
		Ballot:      g.GetBallot(),
		MapVersion:  g.GetMapVersion(),
		Step:        g.GetStep(),
		SkewMs:      float64(g.GetSkewUs()) / microsPerMilli,
		Agents:      int(g.GetAgents()),
		AgentsAll:   int(g.GetAgentsAll()),
		SlowRanks:   int(g.GetSlowRanks()),
	}
	if slowest := g.GetSlowest(); slowest != nil {
		group.Slowest = &SlowRank{Rank: int(slowest.GetRank()), VM: slowest.GetVm(), Slowdown: slowest.GetPace()}
	}
	return group
}

// BackendFromStatus is how a report of a backend server is shown.
func BackendFromStatus(vm, failureDomain string, s *api.BackendStatus) Backend {
	b := Backend{
		VM:            vm,
		FailureDomain: failureDomain,
		Service:       s.GetService(),
		Model:         s.GetModel(),
		ModelVersion:  s.GetModelVersion(),
		Adapters:      s.GetAdapters(),
		Limit:         s.GetLimit(),
		FullLimit:     s.GetFullLimit(),
		Running:       s.GetRunning(),
		Queued:        s.GetQueued(),
		Cold:          s.GetCold(),
		Silent:        s.GetSilent(),
		WorkMs:        float64(s.GetWorkUs()) / microsPerMilli,
		Group:         s.GetGroup(),
	}
	if s.GetRefusing() != api.ResultCode_OK {
		b.Refusing = s.GetRefusing().String()
	}
	return b
}

const microsPerMilli = 1000
