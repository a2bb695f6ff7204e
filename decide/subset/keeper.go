package subset

import (
	"slices"
	"time"
)

// Health is what a client knows of one server.
type Health int

const (
	// Unknown: there is no link, and nothing speaks against one.
	Unknown Health = iota
	// Usable: the link stands and carries work.
	Usable
	// Silent: the link does not stand, or is not heard.
	Silent
	// Unavailable: the server takes no work, and the client has been told so: it is marked out,
	// or it stops.
	Unavailable
)

const (
	// lostAfter is how long a server may be silent before it counts as lost: longer than a
	// link takes to be made, or a link that went silent to be dialled anew, on a busy
	// machine. With the silence that makes a link suspect, 0.6 s, it is 1.6 s.
	lostAfter = time.Second
	// fallbackHold is how long all own servers must be there before the further ones are let go,
	// and how long a further one that was lost is not tried again. A domain that comes
	// back comes back cold, and its load shifts over 10 s; let go sooner, the further
	// ones would be missed in that time.
	fallbackHold = 30 * time.Second
	// firstReportDelay is how long a link stands before the first firstReportDelay of its server is surely
	// there, by which work is placed: two heartbeats and some.
	firstReportDelay = 500 * time.Millisecond
	// maxHandover is how long a server that is not the client's own any more is used on, for
	// want of those that are.
	maxHandover = 5 * time.Second
)

// LinkSelector keeps one client linked to enough servers of one offer while some are lost.
//
// Load: a failure domain is taken out or dies, and with it a third of the servers, or
// half of those that a client happens to have. Harm prevented: the client is left with
// one or two links, its work queues there and is refused, while servers that it is not
// linked to stand idle. With less than three quarters of its servers it takes further
// ones until it has as many as before.
//
// The limit is as many further ones as own ones: with more, a client that sees nobody for
// a fault of its own would dial everybody. They come one after another in an order of
// each client's own, so that the load of those lost is spread over all that are left.
type LinkSelector struct {
	assigned, fallbackOrder []string
	fallbacks               []string
	// silentSince is since when a server has been silent; skipUntil until when a further one is not
	// tried.
	silentSince, skipUntil map[string]time.Duration
	// completeSince is since when all own servers are there; negative while they are not.
	completeSince time.Duration
	// previous are servers that were own before the last Set, used until the links to the new
	// ones stand; since is the first look at them, stood since when all own links stand.
	//
	// Load: one entry is replaced, and others' subsets move with it. Harm prevented: an
	// entry with few links drops those it has and refuses all work until the new ones
	// stand.
	previous                   []string
	handoverStart, linkedSince time.Duration
	hasPendingLink             bool
}

// NewLinkSelector returns a keeper without servers.
func NewLinkSelector() *LinkSelector {
	return &LinkSelector{silentSince: make(map[string]time.Duration), skipUntil: make(map[string]time.Duration), completeSince: -1, linkedSince: -1}
}

// SetServers takes the client's own servers, by [Assign], and the others by [FallbackOrder].
// Further ones that are linked are kept unless they have become own, or are gone.
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

// Update returns the servers to link to: the own ones, and further ones while too many of
// those are lost.
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

// HasPendingLink says that a server is to be linked, as of the last Tick, and that its link may
// stand at any moment.
func (s *LinkSelector) HasPendingLink() bool { return s.hasPendingLink }

// isPending says that a server has no link, and has not been waited for for long.
func (s *LinkSelector) isPending(now time.Duration, vm string, h Health) bool {
	since, silent := s.silentSince[vm]
	return (h == Silent || h == Unknown) && (!silent || now-since < lostAfter)
}

// dropPrevious lets go of the old servers once all own ones are linked and have reported, or
// the time for it is over.
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

// ServersPerLink is how many servers there are for each that the client links to.
func (s *LinkSelector) ServersPerLink() float64 {
	linked := len(s.assigned) + len(s.fallbacks)
	if linked == 0 {
		return 1
	}
	return float64(len(s.assigned)+len(s.fallbackOrder)) / float64(linked)
}

// isLost notes how long a server has been silent.
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

// dropLostFallbacks lets go of further servers that are lost too.
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

// releaseFallbacks lets go of the further servers once all own ones have been there for long enough.
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

// addFallbacks adds further servers until there are as many as the client's own.
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
