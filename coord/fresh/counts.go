package fresh

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	// maxCountDomains limits the domains whose counts are kept and sent. Domains beyond it are left
	// out, which can only make a sum too small.
	maxCountDomains = 12
	// maxCountsPerDomain limits the counts kept of one domain. Of several counts, none is both larger
	// and newer than another.
	maxCountsPerDomain = 4
	// slackDivisor and minSlack set the slack: a sum of counts must exceed a majority by at least
	// 1/slackDivisor of all members, and by at least minSlack. Another process made the counts from
	// its own VM list. A VM that is no longer on the list of this process cannot be told apart in
	// them, and majorities of two lists need not have a member in common. With m members more than
	// a majority they do, as long as the lists differ by at most 2 m VMs. Members that this process
	// hears itself are counted by its own list and need no slack.
	slackDivisor = 50
	minSlack     = 1
	// recountDivisor sets how long own counts are reused: 1/recountDivisor of the freshness limit.
	recountDivisor = 40
)

// count is a number of distinct members of a failure domain. Each was heard at asOf or later and
// held no more than the process that keeps the count.
type count struct {
	members int
	asOf    time.Duration
}

// countFront holds counts of one domain, newest first, each larger than the one before.
type countFront []count

// add adds a count. A member may be in several counts of one domain, so counts are never summed
// within a domain.
func (f countFront) add(c count) countFront {
	if c.members <= 0 {
		return f
	}
	for _, known := range f {
		if known.members >= c.members && known.asOf >= c.asOf {
			return f
		}
	}
	f = slices.DeleteFunc(f, func(known count) bool { return known.members <= c.members && known.asOf <= c.asOf })
	position, _ := slices.BinarySearchFunc(f, c, func(a, b count) int { return cmp.Compare(b.asOf, a.asOf) })
	f = slices.Insert(f, position, c)
	if len(f) > maxCountsPerDomain {
		return f.dropClosest()
	}
	return f
}

// dropClosest drops the count that is closest in age to the next larger one, which can replace it.
// The largest count always stays. Newer ones matter when the largest includes a dead member.
func (f countFront) dropClosest() countFront {
	closest := 0
	for i := range len(f) - 1 {
		if f[i].asOf-f[i+1].asOf < f[closest].asOf-f[closest+1].asOf {
			closest = i
		}
	}
	return slices.Delete(f, closest, closest+1)
}

// dropOlder drops counts from before oldest.
func (f countFront) dropOlder(oldest time.Duration) countFront {
	return slices.DeleteFunc(f, func(c count) bool { return c.asOf < oldest })
}

// largestSince returns the largest count from a time on, or the largest of all if there is none.
func (f countFront) largestSince(from time.Duration) count {
	var largest count
	for _, c := range f {
		if largest.members == 0 || c.asOf >= from {
			largest = c
		}
	}
	if len(f) > 0 && largest.asOf < from {
		largest = f[len(f)-1]
	}
	return largest
}

// agentCount is the number of agents that an entry counts. Each was heard by that entry at asOf or
// later.
type agentCount struct {
	agents int
	asOf   time.Duration
}

// counts holds the counts by failure domain that a process has made or received.
type counts struct {
	domainOf     map[string]string     // of entries
	entries      map[string]countFront // by domain: counts of entries only
	members      map[string]countFront // by domain: counts of entries and their agents
	agentCounts  map[string]agentCount // by entry
	knownDomains map[string]bool       // the domains that have entries
	minSlack     int                   // lower limit of the slack; see slackDivisor
	refreshedAt  time.Duration         // when own counts were last refreshed
	// cachedMajorityAt is the newest time as of which the counts show a majority. It is computed
	// again when isStale is set, because a count or a VM list has changed.
	cachedMajorityAt time.Duration
	isStale          bool
}

// SetDomains sets the failure domain of each entry of the VM list. Without it, counts are neither
// made nor accepted from others.
func (t *Tracker) SetDomains(domainOf map[string]string) {
	if len(domainOf) == 0 {
		return
	}
	t.counts.domainOf = domainOf
	for vm := range t.counts.agentCounts {
		if domainOf[vm] == "" {
			delete(t.counts.agentCounts, vm)
		}
	}
	t.counts.isStale = true
	t.counts.knownDomains = make(map[string]bool)
	for _, domain := range domainOf {
		t.counts.knownDomains[domain] = true
	}
	for _, byDomain := range []map[string]countFront{t.counts.entries, t.counts.members} {
		for domain := range byDomain {
			if !t.counts.knownDomains[domain] {
				delete(byDomain, domain)
			}
		}
	}
}

// HandleCounts records counts that an entry sent. The entry cannot have sent them before notBefore,
// as for HandleKnowledge.
//
// Counts of a sender that has applied more than ownApplied are dropped: the counted members may
// hold a change that this process lacks, so they don't show that its configuration is current.
func (t *Tracker) HandleCounts(vm string, notBefore time.Duration, m *api.Counts, ownApplied int64) {
	t.SetApplied(ownApplied)
	if m.GetApplied() > t.applied || !t.entries[vm] {
		return
	}
	if m.GetFlock() > 0 {
		t.counts.agentCounts[vm] = agentCount{agents: int(m.GetFlock()), asOf: evidenceTime(notBefore, m.GetFlockAgeMs())}
	}
	for _, c := range m.GetDomains()[:min(len(m.GetDomains()), maxCountDomains)] {
		t.counts.add(t.counts.entries, c.GetDomain(), c.GetEntries(), evidenceTime(notBefore, c.GetEntriesAgeMs()))
		t.counts.add(t.counts.members, c.GetDomain(), c.GetMembers(), evidenceTime(notBefore, c.GetMembersAgeMs()))
	}
}

// add adds a count to those of its domain. Domains unknown to this process are ignored, since their
// members are not on its VM list.
func (c *counts) add(byDomain map[string]countFront, domain string, members uint32, asOf time.Duration) {
	_, exists := byDomain[domain]
	if !exists && len(byDomain) >= maxCountDomains || !c.knownDomains[domain] || asOf == never {
		return
	}
	c.isStale = true
	byDomain[domain] = byDomain[domain].add(count{members: int(members), asOf: asOf})
}

// NeedsCounts reports whether counts are worth sending, because the tail evidence is getting old or
// this process is not initialized.
func (t *Tracker) NeedsCounts(now time.Duration) bool {
	return !t.isInitialized || now-t.tailEvidence > t.limit/2
}

// Counts returns the members that this process knows of, counted for other entries. It returns at
// most maxCountDomains domains, and nil if there is nothing to send.
func (t *Tracker) Counts(now time.Duration) *api.Counts {
	t.refreshCounts(now)
	m := &api.Counts{Applied: t.applied}
	if ownAgents := t.ownAgentCount(now); ownAgents.agents > 0 {
		m.Flock, m.FlockAgeMs = uint32(ownAgents.agents), evidenceAgeMs(ownAgents.asOf, now)
	}
	domains := make([]string, 0, len(t.counts.members))
	for domain, f := range t.counts.members {
		if len(f) > 0 {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	for _, domain := range domains[:min(len(domains), maxCountDomains)] {
		entries := t.counts.entries[domain].largestSince(now - t.limit/2)
		members := t.counts.members[domain].largestSince(now - t.limit/2)
		m.Domains = append(m.Domains, &api.DomainCount{
			Domain:       domain,
			Entries:      uint32(entries.members),
			EntriesAgeMs: evidenceAgeMs(entries.asOf, now),
			Members:      uint32(members.members),
			MembersAgeMs: evidenceAgeMs(members.asOf, now),
		})
	}
	if m.GetFlock() == 0 && len(m.GetDomains()) == 0 {
		return nil
	}
	return m
}

// refreshCounts counts the members heard by this process and drops counts past the limit.
func (t *Tracker) refreshCounts(now time.Duration) {
	t.counts.refreshedAt = now
	oldest := now - t.limit
	for _, byDomain := range []map[string]countFront{t.counts.entries, t.counts.members} {
		for domain := range byDomain {
			byDomain[domain] = byDomain[domain].dropOlder(oldest)
		}
	}
	entries, members := t.heardCounts(now, oldest)
	for domain, heard := range entries {
		t.counts.addCumulative(t.counts.entries, domain, heard)
	}
	for domain, heard := range members {
		t.counts.addCumulative(t.counts.members, domain, heard)
	}
}

// heardCounts returns, by domain, the entries that this process hears, and the same entries
// together with their agents.
func (t *Tracker) heardCounts(now, oldest time.Duration) (entries, members map[string][]count) {
	entries, members = make(map[string][]count), make(map[string][]count)
	add := func(vm string, heardAt time.Duration, entryAgents agentCount) {
		domain := t.counts.domainOf[vm]
		if domain == "" {
			return
		}
		if heardAt >= oldest {
			entries[domain] = append(entries[domain], count{members: 1, asOf: heardAt})
			members[domain] = append(members[domain], count{members: 1, asOf: heardAt})
		}
		if entryAgents.agents > 0 && entryAgents.asOf >= oldest {
			members[domain] = append(members[domain], count{members: entryAgents.agents, asOf: entryAgents.asOf})
		}
	}
	if t.entries[t.self] {
		at := now
		if !t.isInitialized {
			// The process may lack a change that its predecessor acknowledged.
			at = oldest - 1
		}
		add(t.self, at, t.ownAgentCount(now))
	}
	for vm, p := range t.peers {
		if t.entries[vm] && p.initialized && p.applied <= t.applied {
			add(vm, p.notBefore, t.counts.agentCounts[vm])
		}
	}
	return entries, members
}

// addCumulative adds, for each time at which a member was heard, the count of members heard since.
func (c *counts) addCumulative(byDomain map[string]countFront, domain string, heard []count) {
	slices.SortFunc(heard, func(a, b count) int { return cmp.Compare(b.asOf, a.asOf) })
	sum := 0
	for _, heardCount := range heard {
		sum += heardCount.members
		c.add(byDomain, domain, uint32(sum), heardCount.asOf)
	}
}

// ownAgentCount returns how many agents that name this entry were heard, and as of when. Agents not
// heard for half the limit are left out, because they would make the whole count that old.
func (t *Tracker) ownAgentCount(now time.Duration) agentCount {
	own := agentCount{asOf: now}
	for vm, p := range t.peers {
		if p.countedBy == t.self && t.members[vm] && !t.entries[vm] && p.initialized && p.applied <= t.applied && now-p.notBefore <= t.limit/2 {
			own.agents++
			own.asOf = min(own.asOf, p.notBefore)
		}
	}
	return own
}

// countedMajorityAt returns the newest time as of which a majority is counted, never if there is
// none. Own counts are refreshed only at intervals, because this is called for every message of
// every link.
//
// Counts past the limit must not be used, not even to initialize a new process: an agent may have
// named another entry since, and would be in both an old and a new count.
func (t *Tracker) countedMajorityAt(now time.Duration) time.Duration {
	if len(t.counts.knownDomains) == 0 {
		return never
	}
	if now-t.counts.refreshedAt >= t.limit/recountDivisor {
		t.refreshCounts(now)
	}
	if t.counts.isStale {
		entries := t.counts.majorityAt(t.counts.entries, len(t.entries))
		members := t.counts.majorityAt(t.counts.members, len(t.members))
		t.counts.cachedMajorityAt, t.counts.isStale = max(entries, members), false
	}
	if t.counts.cachedMajorityAt < now-t.limit {
		return never
	}
	return t.counts.cachedMajorityAt
}

// majorityAt returns the newest time as of which the counts of all domains add up to a majority of
// memberCount plus the slack. It uses the largest count of each domain that is new enough.
func (c *counts) majorityAt(byDomain map[string]countFront, memberCount int) time.Duration {
	type step struct {
		domain string
		count
	}
	steps := make([]step, 0, maxCountDomains*maxCountsPerDomain)
	for domain, f := range byDomain {
		for _, c := range f {
			steps = append(steps, step{domain: domain, count: c})
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Compare(b.asOf, a.asOf) })
	needed := memberCount/2 + 1 + max(c.minSlack, memberCount/slackDivisor)
	largest := make(map[string]int, len(byDomain))
	sum := 0
	for _, s := range steps {
		if more := s.members - largest[s.domain]; more > 0 {
			largest[s.domain] = s.members
			sum += more
		}
		if memberCount > 0 && sum >= needed {
			return s.asOf
		}
	}
	return never
}
