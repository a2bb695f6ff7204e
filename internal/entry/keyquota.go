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
func (k *keyBinder) setShares(shares map[string]float64) {
	if k.shares != nil && maps.Equal(shares, k.shares) {
		return
	}
	k.shares = shares
	byDigest := make(map[keybind.Customer]float64, len(shares))
	names := make(map[keybind.Customer]string, len(shares))
	for name, share := range shares {
		c := keybind.CustomerFrom(ticket.CustomerDigest(name))
		byDigest[c], names[c] = share, name
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.customerNames = names
	k.fold.Room().SetShares(byDigest)
	k.batcher.Room().SetShares(byDigest)
}

// checkQuota says why a customer can bind no more keys for now; the lock is held.
//
// Load: a team whose program makes a new key in each try. Harm prevented: it takes the
// room of all, and others' first deposit of the hour is refused for 20 minutes; or it is
// told to come back each second, and does. It is told when enough of its own bindings
// have run out: a wait shorter than that is for nothing. See keybind.Room for the limits.
// Entries that have read differently far may judge differently. That changes who may
// append, never what a key is bound to.
func (k *keyBinder) checkQuota(c keybind.Customer) *result.Error {
	quota := k.fold.Room()
	verdict, n := quota.Ask(c, k.batcher.Room().Held(c))
	switch verdict {
	case keybind.BeyondShare:
		k.refusedForSpace = true
		k.counts.beyond.Inc(1)
		text := fmt.Sprintf("%d keys of the customer's own are bound, as many as it has room for. Come back with the same key, or take a ticket.", quota.Held(c))
		return result.Refuse(api.ResultCode_OVER_SHARE, k.timeUntilReleased(k.fold.OldestAtMs(c, quota.Promise(c, n, k.entries()))), text)
	case keybind.Full:
		k.refusedForSpace = true
		return result.Refuse(api.ResultCode_KEYS_FULL, k.timeUntilReleased(k.fold.FirstAtMs(n)))
	case keybind.Free:
	}
	return nil
}

// timeUntilReleased is the time until bindings of a record with a wall time are let go.
func (k *keyBinder) timeUntilReleased(atMs int64) time.Duration {
	age := time.Duration(time.Now().UnixMilli()-atMs) * time.Millisecond
	// Records are let go of in steps, and read at the next look at the stream.
	maxWait := k.retention + keybind.ReleaseStep(k.retention) + (idlePollFactor+1)*k.poll
	return min(max(maxWait-age, keyRetryInterval), maxWait)
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
	Customers []customerKeys
	Newest    []string
}

// customerKeys is how many keys of a customer are bound, and how many it is sure of.
type customerKeys struct {
	Customer  string
	Held, Own int
}

// maxDumped bounds the keys, and the customers, in a dump.
const maxDumped = 20

func (k *keyBinder) dump() keysState {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := keysState{
		Held:      k.fold.Held(),
		Waiting:   len(k.waiting),
		Next:      k.fold.Next(),
		Released:  k.fold.Released(),
		Proven:    k.confirmed(),
		Answers:   !k.readFailing && k.appendFailedAt == 0,
		Customers: k.largestHolders(),
	}
	s.Lent, s.Lendable = k.fold.Room().Lent()
	for _, key := range k.fold.Newest(maxDumped) {
		s.Newest = append(s.Newest, hex.EncodeToString(key[:]))
	}
	return s
}

// largestHolders returns the customers that hold most keys; the lock is held.
func (k *keyBinder) largestHolders() []customerKeys {
	quota := k.fold.Room()
	all := make([]customerKeys, 0, len(quota.Customers()))
	for c, held := range quota.Customers() {
		name, ok := k.customerNames[c]
		if !ok {
			name = hex.EncodeToString(c[:]) + ", not in the plans"
		}
		all = append(all, customerKeys{Customer: name, Held: held, Own: quota.Own(c)})
	}
	slices.SortFunc(all, func(a, b customerKeys) int {
		return cmp.Or(cmp.Compare(b.Held, a.Held), cmp.Compare(a.Customer, b.Customer))
	})
	return all[:min(len(all), maxDumped)]
}
