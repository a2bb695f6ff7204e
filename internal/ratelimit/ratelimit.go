// Package ratelimit limits the rate of requests per key with a bounded number of token buckets.
package ratelimit

import (
	"container/list"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Keyed holds a token bucket for each recently used key. It is safe for concurrent use.
type Keyed struct {
	capacity int

	mu      sync.Mutex
	buckets map[string]*list.Element
	// recent has the most recently used key in front.
	recent *list.List
}

type bucket struct {
	key     string
	limiter *rate.Limiter
}

// New returns a limiter that remembers at most capacity keys. Beyond that the least recently used
// key is dropped, and starts with a full bucket when it is used again. With a capacity of the
// number of keys that exist, no key is ever dropped. Where callers can invent keys, such as
// addresses, the capacity limits the memory; the price is that a caller with very many keys is not
// limited.
func New(capacity int) *Keyed {
	return &Keyed{capacity: max(capacity, 1), buckets: map[string]*list.Element{}, recent: list.New()}
}

// Allow counts one request of the key. It reports whether the request is within perSecond, with
// bursts of up to burst requests, and if not, after which time a request would be allowed. A rate
// of 0 or less means no limit. A key whose rate or burst has changed in the configuration keeps
// its tokens.
func (k *Keyed) Allow(now time.Time, key string, perSecond float64, burst int) (bool, time.Duration) {
	if perSecond <= 0 {
		return true, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	limiter := k.limiterFor(now, key, rate.Limit(perSecond), max(burst, 1))
	if limiter.AllowN(now, 1) {
		return true, 0
	}
	missing := 1 - limiter.TokensAt(now)
	return false, time.Duration(math.Ceil(missing / perSecond * float64(time.Second)))
}

// IsExhausted reports whether a request of the key would exceed its rate. It does not count a
// request.
func (k *Keyed) IsExhausted(now time.Time, key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	element, ok := k.buckets[key]
	return ok && element.Value.(*bucket).limiter.TokensAt(now) < 1
}

func (k *Keyed) limiterFor(now time.Time, key string, limit rate.Limit, burst int) *rate.Limiter {
	if element, ok := k.buckets[key]; ok {
		k.recent.MoveToFront(element)
		limiter := element.Value.(*bucket).limiter
		if limiter.Limit() != limit {
			limiter.SetLimitAt(now, limit)
		}
		if limiter.Burst() != burst {
			limiter.SetBurstAt(now, burst)
		}
		return limiter
	}
	if k.recent.Len() >= k.capacity {
		oldest := k.recent.Back()
		delete(k.buckets, oldest.Value.(*bucket).key)
		k.recent.Remove(oldest)
	}
	limiter := rate.NewLimiter(limit, burst)
	k.buckets[key] = k.recent.PushFront(&bucket{key: key, limiter: limiter})
	return limiter
}

// Len returns the number of keys remembered.
func (k *Keyed) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.recent.Len()
}
