package config

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

// maxMissingNames bounds the agents that a report names: what is sent is to stay small when
// most agents lack a change.
const maxMissingNames = 32

// Reporters says which entry reports for each agent, where an entry is not linked to all
// agents. Each agent has one reporter, which tells others whether the agent holds a
// record. All processes with the same list of VMs choose the same reporters. A Reporters
// is immutable; nil has no agents.
type Reporters struct {
	reporterOf map[string]string
	agentsOf   map[string][]string
	digest     uint64
}

// NewReporters takes the entry of each agent, both by VM.
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

// AgentsOf returns the agents that an entry reports for. The caller must not change it.
func (r *Reporters) AgentsOf(entry string) []string {
	if r == nil {
		return nil
	}
	return r.agentsOf[entry]
}

// AppliedReport is what an agent said of itself: how far it has applied the log, and a time
// before which it cannot have said so.
type AppliedReport struct {
	Applied   int64
	NotBefore time.Duration
}

// BuildHolders tells which of its agents an entry knows to hold the record at an offset. Heard
// returns the newest word of the process that NOW runs on a VM, false for none: a new
// process has forgotten what its predecessor held.
//
// A word older than half of the limit counts as none. The whole report is as old as the
// oldest word in it, so that one silent agent would make those of all others lapse.
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
	// Rounded up: rounded down, the words would seem newer than they are.
	m.AgeMs = int64((now - oldest + time.Millisecond - 1) / time.Millisecond)
	return m
}

// ApplyHolders takes what an entry reports of its agents. The time is one before which the
// report CANNOT have been sent, as for Member. Own tells the agents that the caller hears
// itself: what they say goes before what others say of them.
//
// A report says "all but these". To a process with another list of VMs that would name
// agents that the sender has never heard of, and "in force" would be told while one lacks
// the change. Only a report by the same reporters is taken. It also makes sure that each
// agent is in one report; in two it would still count once, since it is taken by name.
//
// A later report of an entry takes the place of its earlier one, so that the caller must
// keep the order in which they were sent.
//
// A report in which not all missing agents are named shows of nobody that it holds.
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

// setReported takes what an entry reports of one agent. Two reports of one entry are dated by
// one heartbeat and by words of different ages: by these times an agent that was missing
// would be missing still when the next report no longer names it.
func (a *Acceptance) setReported(agent string, ack memberAck) {
	if known, ok := a.members[agent]; ok && known.reporter != ack.reporter && ack.notBefore < known.notBefore {
		return
	}
	ack.role = api.Role_ROLE_AGENT
	a.members[agent] = &ack
}
