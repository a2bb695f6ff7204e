package adminapi

import "github.com/apricothub/apricothub/api"

// Status is the state of the system as one process knows it.
type Status struct {
	Process  Process      `json:"process"`
	Log      LogStatus    `json:"log"`
	Lists    []ListStatus `json:"lists"`
	Marks    []Mark       `json:"marks"`
	Members  []Member     `json:"members"`
	Backends []Backend    `json:"backends"`
	Groups   []Group      `json:"groups"`
}

// Process describes the process that answers.
type Process struct {
	VM string `json:"vm"`
	// Role is entry or agent.
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   string `json:"incarnation"`
	Version       string `json:"version"`
	UptimeMs      int64  `json:"uptime_ms"`
	// Applied is the newest log offset that the process has applied; -1 for none.
	Applied int64 `json:"applied"`
	// Freshness says whether the process trusts its configuration: "fresh", "outage" (its
	// configuration is stale, as at all members, and it keeps serving), "isolated" or "starting".
	Freshness string `json:"freshness"`
	// EvidenceAgeMs is the age of the newest evidence that Applied is the end of the log; -1 if
	// there was none.
	EvidenceAgeMs int64 `json:"evidence_age_ms"`
	Ready         bool  `json:"ready"`
	Draining      bool  `json:"draining"`
}

// LogStatus is the state of the platform's log as seen by this process.
type LogStatus struct {
	Reachable bool `json:"reachable"`
	// DownMs is the time since the log last answered; 0 while it is reachable.
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

// Member is one process of the system, as last reported to this process.
type Member struct {
	VM            string `json:"vm"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   string `json:"incarnation"`
	Version       string `json:"version"`
	Applied       int64  `json:"applied"`
	EvidenceAgeMs int64  `json:"evidence_age_ms"`
	// Link is up, suspect or down; empty for a member to which no link is needed.
	Link     string `json:"link"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	// Leaving is set while the platform lists the VM as leaving.
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
	// Limit is the current concurrency limit, FullLimit the limit of the warm server.
	Limit     int32 `json:"limit"`
	FullLimit int32 `json:"full_limit"`
	Running   int32 `json:"running"`
	Queued    int32 `json:"queued"`
	Cold      bool  `json:"cold"`
	// Refusing is the result code with which new work is refused; empty while it is accepted.
	Refusing string `json:"refusing,omitempty"`
	// Silent is set when the engine has not answered its agent for some seconds.
	Silent bool `json:"silent"`
	// WorkMs is the moving average of the time per request.
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
	// StepAgeMs is the time since Step last changed, as seen by the process that answers.
	StepAgeMs int64 `json:"still_ms"`
	// SkewMs is the time between the first and the last rank in a step.
	SkewMs float64 `json:"skew_ms"`
	// Agents counts the agents of the group that answer, out of AgentsAll.
	Agents    int `json:"agents"`
	AgentsAll int `json:"agents_all"`
	// SlowRanks counts the ranks that stay more than 3 times slower than the group, and Slowest is
	// the slowest of them; nil when there is none.
	SlowRanks int       `json:"slow_ranks"`
	Slowest   *SlowRank `json:"slowest,omitempty"`
}

// SlowRank is a rank that stays slower than its group.
type SlowRank struct {
	Rank int    `json:"rank"`
	VM   string `json:"vm"`
	// Slowdown is the time per token of the rank relative to the typical time of the group.
	Slowdown float64 `json:"pace"`
}

// GroupFromStatus converts a coordinator's report of its group.
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

// BackendFromStatus converts an agent's report of its backend server.
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
