package entry

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keybind"
	"github.com/apricothub/apricothub/coord/ticket"
	"github.com/apricothub/apricothub/internal/result"
)

// setShares takes the customers' shares, by which the room for their keys is divided. The
// control goroutine calls it at each change of the configuration, few of which move shares.
func (k *keys) setShares(shares map[string]float64) {
	if k.shares != nil && maps.Equal(shares, k.shares) {
		return
	}
	k.shares = shares
	byDigest := make(map[keybind.Customer]float64, len(shares))
	names := make(map[keybind.Customer]string, len(shares))
	for name, share := range shares {
		c := keybind.CustomerFromDigest(ticket.CustomerDigest(name))
		byDigest[c], names[c] = share, name
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.names = names
	k.fold.Quotas().SetShares(byDigest)
	k.batcher.Quotas().SetShares(byDigest)
}

// roomFor says why a customer can bind no more keys for now; the lock is held.
//
// Load: a team whose program makes a new key in each try. Harm prevented: it takes the
// room of all, and others' first deposit of the hour is refused for 20 minutes; or it is
// told to come back each second, and does. It is told when enough of its own bindings
// have run out: a wait shorter than that is for nothing. See keybind.Quotas for the limits.
// Entries that have read differently far may judge differently. That changes who may
// append, never what a key is bound to.
func (k *keys) roomFor(c keybind.Customer) *result.Error {
	room := k.fold.Quotas()
	verdict, n := room.Check(c, k.batcher.Quotas().Held(c))
	switch verdict {
	case keybind.OverShare:
		k.cramped = true
		k.counts.beyond.Inc(1)
		text := fmt.Sprintf("%d keys of the customer's own are bound, as many as it has room for. Come back with the same key, or take a ticket.", room.Held(c))
		return result.Refuse(api.ResultCode_OVER_SHARE, k.untilGone(k.fold.NthOldestOfCustomerAtMs(c, room.StaggerRetry(c, n, k.entries()))), text)
	case keybind.Full:
		k.cramped = true
		return result.Refuse(api.ResultCode_KEYS_FULL, k.untilGone(k.fold.NthOldestAtMs(n)))
	case keybind.Allowed:
	}
	return nil
}

// untilGone is the time until bindings of a record with a wall time are let go.
func (k *keys) untilGone(atMs int64) time.Duration {
	age := time.Duration(time.Now().UnixMilli()-atMs) * time.Millisecond
	// Records are let go of in steps, and read at the next look at the stream.
	longest := k.hold + keybind.MaxReleaseDelay(k.hold) + (keyIdlePolls+1)*k.poll
	return min(max(longest-age, keyRetry), longest)
}

// keysState is what a dump tells of keys: their digests, never the keys.
type keysState struct {
	Held, Waiting  int
	Next, Released int64
	Proven         bool
	Answers        bool
	// Lent is how many of Lendable are held beyond the customers' own parts.
	Lent, Lendable int
	// Customers are those that hold most.
	Customers []keysOf
	Newest    []string
}

// keysOf is how many keys of a customer are bound, and how many it is sure of.
type keysOf struct {
	Customer  string
	Held, Own int
}

// dumpKeys bounds the keys, and the customers, in a dump.
const dumpKeys = 20

func (k *keys) dump() keysState {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := keysState{
		Held:      k.fold.Held(),
		Waiting:   len(k.waiting),
		Next:      k.fold.Next(),
		Released:  k.fold.Released(),
		Proven:    k.proven(),
		Answers:   !k.readFailing && k.appendFailed == 0,
		Customers: k.largest(),
	}
	s.Lent, s.Lendable = k.fold.Quotas().Borrowed()
	for _, key := range k.fold.NewestKeys(dumpKeys) {
		s.Newest = append(s.Newest, hex.EncodeToString(key[:]))
	}
	return s
}

// largest returns the customers that hold most keys; the lock is held.
func (k *keys) largest() []keysOf {
	room := k.fold.Quotas()
	all := make([]keysOf, 0, len(room.HeldByCustomer()))
	for c, n := range room.HeldByCustomer() {
		name, ok := k.names[c]
		if !ok {
			name = hex.EncodeToString(c[:]) + ", not in the plans"
		}
		all = append(all, keysOf{Customer: name, Held: n, Own: room.Guaranteed(c)})
	}
	slices.SortFunc(all, func(a, b keysOf) int {
		return cmp.Or(cmp.Compare(b.Held, a.Held), cmp.Compare(a.Customer, b.Customer))
	})
	return all[:min(len(all), dumpKeys)]
}
