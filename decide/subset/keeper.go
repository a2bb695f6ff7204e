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
	// Out: the server takes no work, and the client has been told so: it is marked out,
	// or it stops.
	Out
)

const (
	// settle is how long a server may be silent before it counts as lost: longer than a
	// link takes to be made, or a link that went silent to be dialled anew, on a busy
	// machine. With the silence that makes a link suspect, 0.6 s, it is 1.6 s.
	settle = time.Second
	// hold is how long all own servers must be there before the further ones are let go,
	// and how long a further one that was lost is not tried again. A domain that comes
	// back comes back cold, and its load shifts over 10 s; let go sooner, the further
	// ones would be missed in that time.
	hold = 30 * time.Second
	// report is how long a link stands before the first report of its server is surely
	// there, by which work is placed: two heartbeats and some.
	report = 500 * time.Millisecond
	// handover is how long a server that is not the client's own any more is used on, for
	// want of those that are.
	handover = 5 * time.Second
)

// Keeper keeps one client linked to enough servers of one offer while some are lost.
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
type Keeper struct {
	own, order []string
	further    []string
	// lost is since when a server has been silent; skip until when a further one is not
	// tried.
	lost, skip map[string]time.Duration
	// whole is since when all own servers are there; negative while they are not.
	whole time.Duration
	// old are servers that were own before the last Set, used until the links to the new
	// ones stand; since is the first look at them, stood since when all own links stand.
	//
	// Load: one entry is replaced, and others' subsets move with it. Harm prevented: an
	// entry with few links drops those it has and refuses all work until the new ones
	// stand.
	old          []string
	since, stood time.Duration
	pending      bool
}

// NewKeeper returns a keeper without servers.
func NewKeeper() *Keeper {
	return &Keeper{lost: make(map[string]time.Duration), skip: make(map[string]time.Duration), whole: -1, stood: -1}
}

// Set takes the client's own servers, by [Assign], and the others by [Further].
// Further ones that are linked are kept unless they have become own, or are gone.
func (k *Keeper) Set(own, order []string) {
	was := append(slices.Clone(k.own), k.old...)
	k.old = slices.DeleteFunc(was, func(vm string) bool { return !slices.Contains(order, vm) })
	k.since, k.stood = -1, -1
	k.own, k.order = own, order
	k.further = slices.DeleteFunc(k.further, func(vm string) bool { return !slices.Contains(order, vm) })
	known := func(vm string) bool { return slices.Contains(own, vm) || slices.Contains(order, vm) }
	for vm := range k.lost {
		if !known(vm) {
			delete(k.lost, vm)
		}
	}
	for vm := range k.skip {
		if !known(vm) {
			delete(k.skip, vm)
		}
	}
}

// Tick returns the servers to link to: the own ones, and further ones while too many of
// those are lost.
func (k *Keeper) Tick(now time.Duration, health func(vm string) Health) []string {
	good := 0
	for _, vm := range k.own {
		if !k.isLost(now, vm, health(vm)) {
			good++
		}
	}
	k.dropLost(now, health)
	k.letGo(now, good)
	if 4*(good+len(k.further)) < 3*len(k.own) {
		k.take(now, good, health)
	}
	k.handOver(now, health)
	k.pending = slices.ContainsFunc(slices.Concat(k.own, k.further), func(vm string) bool {
		return k.mayCome(now, vm, health(vm))
	})
	return slices.Concat(k.own, k.further, k.old)
}

// Pending says that a server is to be linked, as of the last Tick, and that its link may
// stand at any moment.
func (k *Keeper) Pending() bool { return k.pending }

// mayCome says that a server has no link, and has not been waited for for long.
func (k *Keeper) mayCome(now time.Duration, vm string, h Health) bool {
	since, silent := k.lost[vm]
	return (h == Silent || h == Unknown) && (!silent || now-since < settle)
}

// handOver lets go of the old servers once all own ones are linked and have reported, or
// the time for it is over.
func (k *Keeper) handOver(now time.Duration, health func(vm string) Health) {
	if len(k.old) == 0 {
		return
	}
	if k.since < 0 {
		k.since = now
	}
	stand := !slices.ContainsFunc(k.own, func(vm string) bool { return health(vm) != Usable })
	switch {
	case !stand:
		k.stood = -1
	case k.stood < 0:
		k.stood = now
	}
	if stand && now-k.stood >= report || now-k.since >= handover {
		k.old = nil
		return
	}
	k.old = slices.DeleteFunc(k.old, func(vm string) bool { return health(vm) != Usable || slices.Contains(k.further, vm) })
}

// Whole is how many servers there are for each that the client links to.
func (k *Keeper) Whole() float64 {
	linked := len(k.own) + len(k.further)
	if linked == 0 {
		return 1
	}
	return float64(len(k.own)+len(k.order)) / float64(linked)
}

// isLost notes how long a server has been silent.
func (k *Keeper) isLost(now time.Duration, vm string, h Health) bool {
	if h != Silent {
		delete(k.lost, vm)
		return h == Out
	}
	since, silent := k.lost[vm]
	if !silent {
		k.lost[vm] = now
		return false
	}
	return now-since >= settle
}

// dropLost lets go of further servers that are lost too.
func (k *Keeper) dropLost(now time.Duration, health func(vm string) Health) {
	k.further = slices.DeleteFunc(k.further, func(vm string) bool {
		if !k.isLost(now, vm, health(vm)) {
			return false
		}
		delete(k.lost, vm)
		k.skip[vm] = now + hold
		return true
	})
}

// letGo lets go of the further servers once all own ones have been there for long enough.
func (k *Keeper) letGo(now time.Duration, good int) {
	switch {
	case good < len(k.own):
		k.whole = -1
	case k.whole < 0:
		k.whole = now
	case now-k.whole >= hold:
		k.further = nil
	}
}

// take adds further servers until there are as many as the client's own.
func (k *Keeper) take(now time.Duration, good int, health func(vm string) Health) {
	for _, vm := range k.order {
		if good+len(k.further) >= len(k.own) {
			return
		}
		if now < k.skip[vm] || slices.Contains(k.further, vm) || health(vm) == Out {
			continue
		}
		k.further = append(k.further, vm)
	}
}
