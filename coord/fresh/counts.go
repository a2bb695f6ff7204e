package fresh

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	// maxCountDomains bounds the domains of which counts are kept and sent. Those past it
	// are left out, which can only make a sum too small.
	maxCountDomains = 12
	// maxFrontCounts bounds the counts kept of one domain: of several, none is both larger
	// and newer than another.
	maxFrontCounts = 4
	// slackDivisor is the part of all members, and slackLeast the number, by which a sum
	// of counts must exceed a majority. The number was counted by another process, from
	// ITS list of VMs. A VM that this process no longer lists cannot be told apart in
	// it, and majorities of two lists need not meet. With m members more than a
	// majority they do, while the lists differ by no more than 2 m VMs. What a process
	// hears itself it counts by its own list, and needs no slack.
	slackDivisor = 50
	minSlack     = 1
	// recountDivisor is the part of the freshness limit for which own counts are good enough.
	recountDivisor = 40
)

// count says that so many distinct members of a failure domain were each heard at a
// time or later and held no more than its holder.
type count struct {
	members int
	asOf    time.Duration
}

// countFront holds counts of one domain, the newest first, each larger than the one before.
type countFront []count

// add takes a count. A member may be in several counts of one domain, so that they are
// never added to each other.
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
	if len(f) > maxFrontCounts {
		return f.dropClosest()
	}
	return f
}

// dropClosest drops the count that a larger one, hardly older, can stand for. The largest
// stays; so does a newer one, for when the largest has a dead member in it.
func (f countFront) dropClosest() countFront {
	closest := 0
	for i := range len(f) - 1 {
		if f[i].asOf-f[i+1].asOf < f[closest].asOf-f[closest+1].asOf {
			closest = i
		}
	}
	return slices.Delete(f, closest, closest+1)
}

// dropOlder drops counts from before a time.
func (f countFront) dropOlder(oldest time.Duration) countFront {
	return slices.DeleteFunc(f, func(c count) bool { return c.asOf < oldest })
}

// largestSince returns the largest count from a time on, else the largest of all.
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

// agentCount is what an entry said of the agents that it counts.
type agentCount struct {
	agents int
	asOf   time.Duration
}

// counts are the counts by failure domain that a process has made or taken.
type counts struct {
	domainOf     map[string]string     // of entries
	entries      map[string]countFront // by domain: counts of entries alone
	members      map[string]countFront // by domain: entries, with the agents that named them
	agentCounts  map[string]agentCount // by entry
	knownDomains map[string]bool       // the domains of entries
	minSlack     int                   // the least slack
	refreshedAt  time.Duration         // when own counts were last made
	// cachedMajorityAt is the newest time as of which there is one, worked out again when what it
	// came from has changed.
	cachedMajorityAt time.Duration
	isStale          bool
}

// SetDomains gives the failure domain of each entry of the VM list. Without it, counts
// of others are neither taken nor made.
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

// HandleCounts takes counts that an entry has sent. The time is one before which they CANNOT
// have been sent, as for Heard.
//
// Counts of a sender that has applied more than ownApplied are dropped: the members in
// them may hold a change that this process lacks, and prove nothing of it.
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

// add adds a count to those of its domain. What is counted of a domain that this
// process does not know is not on its list.
func (c *counts) add(byDomain map[string]countFront, domain string, members uint32, asOf time.Duration) {
	_, exists := byDomain[domain]
	if !exists && len(byDomain) >= maxCountDomains || !c.knownDomains[domain] || asOf == never {
		return
	}
	c.isStale = true
	byDomain[domain] = byDomain[domain].add(count{members: int(members), asOf: asOf})
}

// NeedsCounts says that counts are worth the bytes: other evidence grows old here.
func (t *Tracker) NeedsCounts(now time.Duration) bool {
	return !t.isInitialized || now-t.tailEvidence > t.limit/2
}

// Counts returns what an entry tells other entries of the members it knows of, at most
// maxCounts domains; nil when there is nothing to tell.
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

// refreshCounts makes this process's own counts of what it has heard, and lets go of counts
// past the limit.
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

// heardCounts returns, by domain, the entries that this process hears, and the same with
// their flocks.
func (t *Tracker) heardCounts(now, oldest time.Duration) (entries, members map[string][]count) {
	entries, members = make(map[string][]count), make(map[string][]count)
	add := func(vm string, heardAt time.Duration, agents agentCount) {
		domain := t.counts.domainOf[vm]
		if domain == "" {
			return
		}
		if heardAt >= oldest {
			entries[domain] = append(entries[domain], count{members: 1, asOf: heardAt})
			members[domain] = append(members[domain], count{members: 1, asOf: heardAt})
		}
		if agents.agents > 0 && agents.asOf >= oldest {
			members[domain] = append(members[domain], count{members: agents.agents, asOf: agents.asOf})
		}
	}
	if t.entries[t.self] {
		at := now
		if !t.isInitialized {
			// It may have forgotten what its predecessor acknowledged.
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

// addCumulative adds the counts of a domain as of each time at which a member was heard.
func (c *counts) addCumulative(byDomain map[string]countFront, domain string, heard []count) {
	slices.SortFunc(heard, func(a, b count) int { return cmp.Compare(b.asOf, a.asOf) })
	sum := 0
	for _, heardCount := range heard {
		sum += heardCount.members
		c.add(byDomain, domain, uint32(sum), heardCount.asOf)
	}
}

// ownAgentCount returns how many agents that name this entry were heard, as of when. Those
// not heard for half the limit are left out, where the others would be made older by
// them than they are.
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
// none. It makes its own counts anew only now and then: every message of every link asks.
//
// Counts past the limit must not even initialize a process that settles: an agent may
// name another entry by then, and would be in an old count and in a new one.
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

// majorityAt returns the newest time as of which the counts of all domains together are
// a majority of a set and the slack: of each domain the largest count that is new enough,
// and of them all the oldest time.
func (c *counts) majorityAt(byDomain map[string]countFront, memberCount int) time.Duration {
	type step struct {
		domain string
		count
	}
	steps := make([]step, 0, maxCountDomains*maxFrontCounts)
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
