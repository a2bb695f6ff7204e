package config

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

// maxMissingNames limits the agents that a report names, to keep it small when most agents lack a
// change.
const maxMissingNames = 32

// Reporters assigns each agent the entry that reports for it, where an entry is not linked to all
// agents. The entry tells the others whether the agent holds a record. All processes with the same
// VM list choose the same reporters. A Reporters is immutable; a nil one has no agents.
type Reporters struct {
	reporterOf map[string]string
	agentsOf   map[string][]string
	digest     uint64
}

// NewReporters returns the reporters for a map from the VM of each agent to that of its entry.
func NewReporters(reporterOf map[string]string) *Reporters {
	r := &Reporters{reporterOf: reporterOf, agentsOf: make(map[string][]string)}
	sum := sha256.New()
	for _, agent := range slices.Sorted(maps.Keys(reporterOf)) {
		entry := reporterOf[agent]
		r.agentsOf[entry] = append(r.agentsOf[entry], agent)
		sum.Write([]byte(agent + "\x00" + entry + "\x00"))
	}
	r.digest = binary.BigEndian.Uint64(sum.Sum(nil))
	return r
}

// ReporterOf returns the entry that reports for an agent, empty for none.
func (r *Reporters) ReporterOf(agent string) string {
	if r == nil {
		return ""
	}
	return r.reporterOf[agent]
}

// AgentsOf returns the agents that an entry reports for. The caller must not change the slice.
func (r *Reporters) AgentsOf(entry string) []string {
	if r == nil {
		return nil
	}
	return r.agentsOf[entry]
}

// AppliedReport is how far an agent reports to have applied the log, and a time before which it
// cannot have sent the report.
type AppliedReport struct {
	Applied   int64
	NotBefore time.Duration
}

// BuildHolders reports which agents of an entry hold the record at an offset. Latest returns the
// newest report of the process that now runs on a VM, false for none: a new process doesn't know
// what its predecessor held.
//
// A report of an agent that is older than half of the limit is ignored. The age of the result is
// that of the oldest report in it, so a single silent agent would otherwise make the result expire
// for all the others.
func (r *Reporters) BuildHolders(entry string, offset int64, limit, now time.Duration, latest func(vm string) (AppliedReport, bool)) *api.Holders {
	m := &api.Holders{Offset: offset, Reporters: r.digest}
	oldest := now
	for _, agent := range r.agentsOf[entry] {
		report, ok := latest(agent)
		if ok && report.Applied >= offset && now-report.NotBefore <= limit/2 {
			oldest = min(oldest, report.NotBefore)
			continue
		}
		m.MissingCount++
		if len(m.GetMissing()) < maxMissingNames {
			m.Missing = append(m.Missing, agent)
		}
	}
	// Rounded up, so that the reports don't seem newer than they are.
	m.AgeMs = int64((now - oldest + time.Millisecond - 1) / time.Millisecond)
	return m
}

// ApplyHolders records what an entry reports about its agents. The entry cannot have sent the
// report before notBefore, as for UpdateMember. HeardDirectly reports whether the caller hears an
// agent itself; what such an agent reports takes precedence over what others report about it.
//
// A report lists the agents that lack the change, and implies that all others hold it. For a
// process with another VM list, these others would include agents that the sender doesn't know, and
// the change would be in force while one of them lacks it. So only a report by the same reporters
// is accepted. This also puts each agent into one report only; even in two it would count once,
// since agents are recorded by name.
//
// A later report of an entry replaces its earlier one, so the caller must keep the order in which
// they were sent. A report that doesn't name all missing agents confirms no agent.
func (a *Acceptance) ApplyHolders(reporters *Reporters, entry string, m *api.Holders, notBefore time.Duration, heardDirectly func(vm string) bool) {
	if reporters == nil || m.GetOffset() != a.offset || m.GetReporters() != reporters.digest || notBefore < 0 {
		return
	}
	missing := make(map[string]bool, len(m.GetMissing()))
	for _, agent := range m.GetMissing() {
		missing[agent] = true
	}
	isComplete := int(m.GetMissingCount()) == len(missing)
	reportedAt := notBefore - time.Duration(max(0, m.GetAgeMs()))*time.Millisecond
	for _, agent := range reporters.agentsOf[entry] {
		switch {
		case heardDirectly(agent):
		case missing[agent]:
			a.setReported(agent, memberAck{applied: noOffset, notBefore: notBefore, reporter: entry})
		case isComplete:
			a.setReported(agent, memberAck{applied: m.GetOffset(), notBefore: reportedAt, reporter: entry})
		}
	}
}

// setReported records what an entry reports about one agent. Two reports of the same entry can be
// dated by the same heartbeat but include agents' reports of different ages. They are therefore not
// compared by time: an agent that was missing would stay missing when the next report no longer
// names it.
func (a *Acceptance) setReported(agent string, ack memberAck) {
	if known, ok := a.members[agent]; ok && known.reporter != ack.reporter && ack.notBefore < known.notBefore {
		return
	}
	ack.role = api.Role_ROLE_AGENT
	a.members[agent] = &ack
}
