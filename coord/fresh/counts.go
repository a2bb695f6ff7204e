package fresh

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

const (
	// maxCounts bounds the domains of which counts are kept and sent. Those past it
	// are left out, which can only make a sum too small.
	maxCounts = 12
	// maxFront bounds the counts kept of one domain: of several, none is both larger
	// and newer than another.
	maxFront = 4
	// slackPart is the part of all members, and slackLeast the number, by which a sum
	// of counts must exceed a majority. The number was counted by another process, from
	// ITS list of VMs. A VM that this process no longer lists cannot be told apart in
	// it, and majorities of two lists need not meet. With m members more than a
	// majority they do, while the lists differ by no more than 2 m VMs. What a process
	// hears itself it counts by its own list, and needs no slack.
	slackPart  = 50
	slackLeast = 1
	// recount is the part of the freshness limit for which own counts are good enough.
	recount = 40
)

// count says that so many distinct members of a failure domain were each heard at a
// time or later and held no more than its holder.
type count struct {
	members int
	at      time.Duration
}

// front holds counts of one domain, the newest first, each larger than the one before.
type front []count

// add takes a count. A member may be in several counts of one domain, so that they are
// never added to each other.
func (f front) add(c count) front {
	if c.members <= 0 {
		return f
	}
	for _, known := range f {
		if known.members >= c.members && known.at >= c.at {
			return f
		}
	}
	f = slices.DeleteFunc(f, func(known count) bool { return known.members <= c.members && known.at <= c.at })
	at, _ := slices.BinarySearchFunc(f, c, func(a, b count) int { return cmp.Compare(b.at, a.at) })
	f = slices.Insert(f, at, c)
	if len(f) > maxFront {
		return f.thin()
	}
	return f
}

// thin drops the count that a larger one, hardly older, can stand for. The largest
// stays; so does a newer one, for when the largest has a dead member in it.
func (f front) thin() front {
	drop := 0
	for i := range len(f) - 1 {
		if f[i].at-f[i+1].at < f[drop].at-f[drop+1].at {
			drop = i
		}
	}
	return slices.Delete(f, drop, drop+1)
}

// since drops counts from before a time.
func (f front) since(at time.Duration) front {
	return slices.DeleteFunc(f, func(c count) bool { return c.at < at })
}

// best returns the largest count from a time on, else the largest of all.
func (f front) best(from time.Duration) count {
	var best count
	for _, c := range f {
		if best.members == 0 || c.at >= from {
			best = c
		}
	}
	if len(f) > 0 && best.at < from {
		best = f[len(f)-1]
	}
	return best
}

// flock is what an entry said of the agents that it counts.
type flock struct {
	agents int
	at     time.Duration
}

// counts are the counts by failure domain that a process has made or taken.
type counts struct {
	domainOf map[string]string // of entries
	entries  map[string]front  // by domain: counts of entries alone
	members  map[string]front  // by domain: entries, with the agents that named them
	flocks   map[string]flock  // by entry
	known    map[string]bool   // the domains of entries
	slack    int               // the least slack
	made     time.Duration     // when own counts were last made
	// majority is the newest time as of which there is one, worked out again when what it
	// came from has changed.
	majority time.Duration
	changed  bool
}

// SetDomains gives the failure domain of each entry of the VM list. Without it, counts
// of others are neither taken nor made.
func (t *Tracker) SetDomains(domainOf map[string]string) {
	if len(domainOf) == 0 {
		return
	}
	t.counts.domainOf = domainOf
	for vm := range t.counts.flocks {
		if domainOf[vm] == "" {
			delete(t.counts.flocks, vm)
		}
	}
	t.counts.changed = true
	t.counts.known = make(map[string]bool)
	for _, domain := range domainOf {
		t.counts.known[domain] = true
	}
	for _, byDomain := range []map[string]front{t.counts.entries, t.counts.members} {
		for domain := range byDomain {
			if !t.counts.known[domain] {
				delete(byDomain, domain)
			}
		}
	}
}

// Counted takes counts that an entry has sent. The time is one before which they CANNOT
// have been sent, as for Heard.
//
// Counts of a sender that has applied more than ownApplied are dropped: the members in
// them may hold a change that this process lacks, and prove nothing of it.
func (t *Tracker) Counted(vm string, at time.Duration, m *api.Counts, ownApplied int64) {
	t.Applied(ownApplied)
	if m.GetApplied() > t.applied || !t.entries[vm] {
		return
	}
	if m.GetFlock() > 0 {
		t.counts.flocks[vm] = flock{agents: int(m.GetFlock()), at: since(at, m.GetFlockAgeMs())}
	}
	for _, c := range m.GetDomains()[:min(len(m.GetDomains()), maxCounts)] {
		t.counts.take(t.counts.entries, c.GetDomain(), c.GetEntries(), since(at, c.GetEntriesAgeMs()))
		t.counts.take(t.counts.members, c.GetDomain(), c.GetMembers(), since(at, c.GetMembersAgeMs()))
	}
}

// take adds a count to those of its domain. What is counted of a domain that this
// process does not know is not on its list.
func (c *counts) take(byDomain map[string]front, domain string, members uint32, at time.Duration) {
	_, held := byDomain[domain]
	if !held && len(byDomain) >= maxCounts || !c.known[domain] || at == never {
		return
	}
	c.changed = true
	byDomain[domain] = byDomain[domain].add(count{members: int(members), at: at})
}

// Counting says that counts are worth the bytes: other evidence grows old here.
func (t *Tracker) Counting(now time.Duration) bool {
	return !t.started || now-t.tail > t.limit/2
}

// Counts returns what an entry tells other entries of the members it knows of, at most
// maxCounts domains; nil when there is nothing to tell.
func (t *Tracker) Counts(now time.Duration) *api.Counts {
	t.count(now)
	m := &api.Counts{Applied: t.applied}
	if own := t.ownFlock(now); own.agents > 0 {
		m.Flock, m.FlockAgeMs = uint32(own.agents), age(own.at, now)
	}
	domains := make([]string, 0, len(t.counts.members))
	for domain, f := range t.counts.members {
		if len(f) > 0 {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	for _, domain := range domains[:min(len(domains), maxCounts)] {
		entries := t.counts.entries[domain].best(now - t.limit/2)
		members := t.counts.members[domain].best(now - t.limit/2)
		m.Domains = append(m.Domains, &api.DomainCount{
			Domain:       domain,
			Entries:      uint32(entries.members),
			EntriesAgeMs: age(entries.at, now),
			Members:      uint32(members.members),
			MembersAgeMs: age(members.at, now),
		})
	}
	if m.GetFlock() == 0 && len(m.GetDomains()) == 0 {
		return nil
	}
	return m
}

// count makes this process's own counts of what it has heard, and lets go of counts
// past the limit.
func (t *Tracker) count(now time.Duration) {
	t.counts.made = now
	oldest := now - t.limit
	for _, byDomain := range []map[string]front{t.counts.entries, t.counts.members} {
		for domain := range byDomain {
			byDomain[domain] = byDomain[domain].since(oldest)
		}
	}
	entries, members := t.words(now, oldest)
	for domain, words := range entries {
		t.counts.make(t.counts.entries, domain, words)
	}
	for domain, words := range members {
		t.counts.make(t.counts.members, domain, words)
	}
}

// words returns, by domain, the entries that this process hears, and the same with
// their flocks.
func (t *Tracker) words(now, oldest time.Duration) (entries, members map[string][]count) {
	entries, members = make(map[string][]count), make(map[string][]count)
	add := func(vm string, at time.Duration, f flock) {
		domain := t.counts.domainOf[vm]
		if domain == "" {
			return
		}
		if at >= oldest {
			entries[domain] = append(entries[domain], count{members: 1, at: at})
			members[domain] = append(members[domain], count{members: 1, at: at})
		}
		if f.agents > 0 && f.at >= oldest {
			members[domain] = append(members[domain], count{members: f.agents, at: f.at})
		}
	}
	if t.entries[t.self] {
		at := now
		if !t.started {
			// It may have forgotten what its predecessor acknowledged.
			at = oldest - 1
		}
		add(t.self, at, t.ownFlock(now))
	}
	for vm, p := range t.heard {
		if t.entries[vm] && p.initialized && p.applied <= t.applied {
			add(vm, p.at, t.counts.flocks[vm])
		}
	}
	return entries, members
}

// make adds the counts of a domain as of each time at which a member was heard.
func (c *counts) make(byDomain map[string]front, domain string, words []count) {
	slices.SortFunc(words, func(a, b count) int { return cmp.Compare(b.at, a.at) })
	sum := 0
	for _, word := range words {
		sum += word.members
		c.take(byDomain, domain, uint32(sum), word.at)
	}
}

// ownFlock returns how many agents that name this entry were heard, as of when. Those
// not heard for half the limit are left out, where the others would be made older by
// them than they are.
func (t *Tracker) ownFlock(now time.Duration) flock {
	own := flock{at: now}
	for vm, p := range t.heard {
		if p.named == t.self && t.members[vm] && !t.entries[vm] && p.initialized && p.applied <= t.applied && now-p.at <= t.limit/2 {
			own.agents++
			own.at = min(own.at, p.at)
		}
	}
	return own
}

// countedAt returns the newest time as of which a majority is counted, never if there is
// none. It makes its own counts anew only now and then: every message of every link asks.
//
// Counts past the limit must not even initialize a process that settles: an agent may
// name another entry by then, and would be in an old count and in a new one.
func (t *Tracker) countedAt(now time.Duration) time.Duration {
	if len(t.counts.known) == 0 {
		return never
	}
	if now-t.counts.made >= t.limit/recount {
		t.count(now)
	}
	if t.counts.changed {
		entries := t.counts.majorityAt(t.counts.entries, len(t.entries))
		members := t.counts.majorityAt(t.counts.members, len(t.members))
		t.counts.majority, t.counts.changed = max(entries, members), false
	}
	if t.counts.majority < now-t.limit {
		return never
	}
	return t.counts.majority
}

// majorityAt returns the newest time as of which the counts of all domains together are
// a majority of a set and the slack: of each domain the largest count that is new enough,
// and of them all the oldest time.
func (c *counts) majorityAt(byDomain map[string]front, set int) time.Duration {
	type step struct {
		domain string
		count
	}
	steps := make([]step, 0, maxCounts*maxFront)
	for domain, f := range byDomain {
		for _, c := range f {
			steps = append(steps, step{domain: domain, count: c})
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Compare(b.at, a.at) })
	needed := set/2 + 1 + max(c.slack, set/slackPart)
	largest := make(map[string]int, len(byDomain))
	sum := 0
	for _, s := range steps {
		if more := s.members - largest[s.domain]; more > 0 {
			largest[s.domain] = s.members
			sum += more
		}
		if set > 0 && sum >= needed {
			return s.at
		}
	}
	return never
}
