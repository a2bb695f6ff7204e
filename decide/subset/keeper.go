package subset

import (
	"slices"
	"time"
)

// Health is what a client knows about one server.
type Health int

const (
	// Unknown means that there is no link and no known reason against one.
	Unknown Health = iota
	// Usable means that the link is established and carries work.
	Usable
	// Silent means that the link is not established, or nothing is received on it.
	Silent
	// Unavailable means that the client knows that the server takes no work: it is marked out, or it
	// is stopping.
	Unavailable
)

const (
	// lostAfter is how long a server may be silent before it counts as lost. It is longer than it
	// takes to establish a link, or to redial a link that went silent, on a busy machine. Together
	// with the 0.6 s of silence after which a link is suspect, it is 1.6 s.
	lostAfter = time.Second
	// fallbackHold is how long all assigned servers must be healthy before the fallbacks are
	// released, and how long a lost fallback is not tried again. A failure domain returns cold and
	// its load shifts back over 10 s; the fallbacks are still needed in that time.
	fallbackHold = 30 * time.Second
	// firstReportDelay is how long a link must be established until the first report of its server,
	// which placement needs, is certain to have arrived: slightly more than two heartbeats.
	firstReportDelay = 500 * time.Millisecond
	// maxHandover is how long a previously assigned server is still used while newly assigned ones
	// are not ready.
	maxHandover = 5 * time.Second
)

// LinkSelector selects the servers of one offer that a client links to, and replaces lost ones.
//
// When a failure domain is taken out or dies, a client loses a third of its servers, or half if
// they are distributed unfavourably. With one or two links left, its requests would queue there and
// be refused, while servers without a link to it are idle. With less than three quarters of its
// assigned servers healthy, the client adds fallbacks until it has as many as before.
//
// There are at most as many fallbacks as assigned servers: without this limit, a client that
// reaches nobody because of a fault of its own would dial every server. Each client has its own
// order of fallbacks, so that the load of lost servers is spread over all that remain.
type LinkSelector struct {
	assigned, fallbackOrder []string
	fallbacks               []string
	// silentSince is the time since which a server has been silent, and skipUntil the time until
	// which a fallback is not tried.
	silentSince, skipUntil map[string]time.Duration
	// completeSince is the time since which all assigned servers are healthy; negative if they are
	// not.
	completeSince time.Duration
	// previous holds servers that were assigned before the last SetServers, which are used until
	// the links to the new ones are established. handoverStart is the time of the first Update
	// after SetServers, and linkedSince the time since which all assigned servers have been usable;
	// both are negative if unset.
	//
	// When one entry is replaced, the subsets of others change too. An entry with few links that
	// dropped them at once would refuse all requests until the new links are established.
	previous                   []string
	handoverStart, linkedSince time.Duration
	hasPendingLink             bool
}

// NewLinkSelector returns a LinkSelector without servers.
func NewLinkSelector() *LinkSelector {
	return &LinkSelector{silentSince: make(map[string]time.Duration), skipUntil: make(map[string]time.Duration), completeSince: -1, linkedSince: -1}
}

// SetServers sets the client's assigned servers, from [Assign], and the others, from
// [FallbackOrder]. Current fallbacks are kept unless they are now assigned or do not exist any
// more.
func (s *LinkSelector) SetServers(assigned, fallbackOrder []string) {
	previous := append(slices.Clone(s.assigned), s.previous...)
	s.previous = slices.DeleteFunc(previous, func(vm string) bool { return !slices.Contains(fallbackOrder, vm) })
	s.handoverStart, s.linkedSince = -1, -1
	s.assigned, s.fallbackOrder = assigned, fallbackOrder
	s.fallbacks = slices.DeleteFunc(s.fallbacks, func(vm string) bool { return !slices.Contains(fallbackOrder, vm) })
	isKnown := func(vm string) bool { return slices.Contains(assigned, vm) || slices.Contains(fallbackOrder, vm) }
	for vm := range s.silentSince {
		if !isKnown(vm) {
			delete(s.silentSince, vm)
		}
	}
	for vm := range s.skipUntil {
		if !isKnown(vm) {
			delete(s.skipUntil, vm)
		}
	}
}

// Update returns the servers to link to: the assigned ones, fallbacks while too many of them are
// lost, and previous ones during a handover.
func (s *LinkSelector) Update(now time.Duration, health func(vm string) Health) []string {
	healthy := 0
	for _, vm := range s.assigned {
		if !s.isLost(now, vm, health(vm)) {
			healthy++
		}
	}
	s.dropLostFallbacks(now, health)
	s.releaseFallbacks(now, healthy)
	if 4*(healthy+len(s.fallbacks)) < 3*len(s.assigned) {
		s.addFallbacks(now, healthy, health)
	}
	s.dropPrevious(now, health)
	s.hasPendingLink = slices.ContainsFunc(slices.Concat(s.assigned, s.fallbacks), func(vm string) bool {
		return s.isPending(now, vm, health(vm))
	})
	return slices.Concat(s.assigned, s.fallbacks, s.previous)
}

// HasPendingLink reports whether, as of the last Update, the link to an assigned server or a
// fallback is about to be established.
func (s *LinkSelector) HasPendingLink() bool { return s.hasPendingLink }

// isPending reports whether a server has no link and has been silent for less than lostAfter.
func (s *LinkSelector) isPending(now time.Duration, vm string, h Health) bool {
	since, silent := s.silentSince[vm]
	return (h == Silent || h == Unknown) && (!silent || now-since < lostAfter)
}

// dropPrevious removes the previous servers once all assigned ones are linked and have reported, or
// after maxHandover.
func (s *LinkSelector) dropPrevious(now time.Duration, health func(vm string) Health) {
	if len(s.previous) == 0 {
		return
	}
	if s.handoverStart < 0 {
		s.handoverStart = now
	}
	allLinked := !slices.ContainsFunc(s.assigned, func(vm string) bool { return health(vm) != Usable })
	switch {
	case !allLinked:
		s.linkedSince = -1
	case s.linkedSince < 0:
		s.linkedSince = now
	}
	if allLinked && now-s.linkedSince >= firstReportDelay || now-s.handoverStart >= maxHandover {
		s.previous = nil
		return
	}
	s.previous = slices.DeleteFunc(s.previous, func(vm string) bool { return health(vm) != Usable || slices.Contains(s.fallbacks, vm) })
}

// ServersPerLink is the ratio of all servers to those that the client links to.
func (s *LinkSelector) ServersPerLink() float64 {
	linked := len(s.assigned) + len(s.fallbacks)
	if linked == 0 {
		return 1
	}
	return float64(len(s.assigned)+len(s.fallbackOrder)) / float64(linked)
}

// isLost reports whether a server is lost, and records since when it has been silent.
func (s *LinkSelector) isLost(now time.Duration, vm string, h Health) bool {
	if h != Silent {
		delete(s.silentSince, vm)
		return h == Unavailable
	}
	since, silent := s.silentSince[vm]
	if !silent {
		s.silentSince[vm] = now
		return false
	}
	return now-since >= lostAfter
}

// dropLostFallbacks removes fallbacks that are lost as well.
func (s *LinkSelector) dropLostFallbacks(now time.Duration, health func(vm string) Health) {
	s.fallbacks = slices.DeleteFunc(s.fallbacks, func(vm string) bool {
		if !s.isLost(now, vm, health(vm)) {
			return false
		}
		delete(s.silentSince, vm)
		s.skipUntil[vm] = now + fallbackHold
		return true
	})
}

// releaseFallbacks removes all fallbacks once all assigned servers have been healthy for
// fallbackHold.
func (s *LinkSelector) releaseFallbacks(now time.Duration, healthy int) {
	switch {
	case healthy < len(s.assigned):
		s.completeSince = -1
	case s.completeSince < 0:
		s.completeSince = now
	case now-s.completeSince >= fallbackHold:
		s.fallbacks = nil
	}
}

// addFallbacks adds fallbacks until the client has as many servers as are assigned to it.
func (s *LinkSelector) addFallbacks(now time.Duration, healthy int, health func(vm string) Health) {
	for _, vm := range s.fallbackOrder {
		if healthy+len(s.fallbacks) >= len(s.assigned) {
			return
		}
		if now < s.skipUntil[vm] || slices.Contains(s.fallbacks, vm) || health(vm) == Unavailable {
			continue
		}
		s.fallbacks = append(s.fallbacks, vm)
	}
}
