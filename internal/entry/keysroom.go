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

// setShares sets the customers' shares, which divide the space for bindings. The control goroutine
// calls it at each change of the configuration, most of which leave the shares alone.
func (k *keyBinder) setShares(shares map[string]float64) {
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
	k.customerNames = names
	k.fold.Quotas().SetShares(byDigest)
	k.batcher.Quotas().SetShares(byDigest)
}

// checkQuota returns why a customer cannot bind another key now; the lock is held.
//
// Without quotas, a team whose program makes a new key for each try would use up the space of all,
// and other teams' first keys would be refused for 20 minutes. The retry delay is the time until
// enough of the customer's own bindings are released: with one second, callers would retry each
// second in vain. keybind.Quotas has the limits. Entries that have read the stream to different
// offsets may decide differently, which affects who may append, but never what a key is bound to.
func (k *keyBinder) checkQuota(c keybind.Customer) *result.Error {
	quotas := k.fold.Quotas()
	verdict, n := quotas.Check(c, k.batcher.Quotas().Held(c))
	switch verdict {
	case keybind.OverShare:
		k.refusedForSpace = true
		k.counts.overShare.Inc(1)
		text := fmt.Sprintf("%d keys of the customer's own are bound, as many as it has room for. Come back with the same key, or take a ticket.", quotas.Held(c))
		return result.Refuse(api.ResultCode_OVER_SHARE, k.timeUntilReleased(k.fold.NthOldestOfCustomerAtMs(c, quotas.StaggerRetry(c, n, k.entries()))), text)
	case keybind.Full:
		k.refusedForSpace = true
		return result.Refuse(api.ResultCode_KEYS_FULL, k.timeUntilReleased(k.fold.NthOldestAtMs(n)))
	case keybind.Allowed:
	}
	return nil
}

// timeUntilReleased returns the time until the bindings of a record with a given wall time are
// released.
func (k *keyBinder) timeUntilReleased(atMs int64) time.Duration {
	age := time.Duration(time.Now().UnixMilli()-atMs) * time.Millisecond
	// Records are released in steps, which take effect with the next read of the stream.
	maxWait := k.retention + keybind.MaxReleaseDelay(k.retention) + (idlePollFactor+1)*k.logPollInterval
	return min(max(maxWait-age, keyRetryInterval), maxWait)
}

// keysState is the keyBinder's part of a dump. It holds digests of keys, never the keys.
type keysState struct {
	Held, Waiting  int
	Next, Released int64
	Proven         bool
	Answers        bool
	// Lent is the number of bindings held beyond the customers' own quotas, out of Lendable.
	Lent, Lendable int
	// Customers are those with the most bindings.
	Customers []customerKeys
	Newest    []string
}

// customerKeys is the number of keys that a customer has bound, and its own quota.
type customerKeys struct {
	Customer  string
	Held, Own int
}

// maxDumped limits the keys and the customers in a dump.
const maxDumped = 20

func (k *keyBinder) dump() keysState {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := keysState{
		Held:      k.fold.Held(),
		Waiting:   len(k.waiting),
		Next:      k.fold.Next(),
		Released:  k.fold.Released(),
		Proven:    k.isComplete(),
		Answers:   !k.readFailing && k.appendFailedAt == 0,
		Customers: k.largestHolders(),
	}
	s.Lent, s.Lendable = k.fold.Quotas().Borrowed()
	for _, key := range k.fold.NewestKeys(maxDumped) {
		s.Newest = append(s.Newest, hex.EncodeToString(key[:]))
	}
	return s
}

// largestHolders returns the customers with the most bindings; the lock is held.
func (k *keyBinder) largestHolders() []customerKeys {
	quotas := k.fold.Quotas()
	all := make([]customerKeys, 0, len(quotas.HeldByCustomer()))
	for c, held := range quotas.HeldByCustomer() {
		name, ok := k.customerNames[c]
		if !ok {
			name = hex.EncodeToString(c[:]) + ", not in the plans"
		}
		all = append(all, customerKeys{Customer: name, Held: held, Own: quotas.Guaranteed(c)})
	}
	slices.SortFunc(all, func(a, b customerKeys) int {
		return cmp.Or(cmp.Compare(b.Held, a.Held), cmp.Compare(a.Customer, b.Customer))
	})
	return all[:min(len(all), maxDumped)]
}
