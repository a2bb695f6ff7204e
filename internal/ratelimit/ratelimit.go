// Package ratelimit bounds the rate of requests for each of many keys, in bounded
// memory.
package ratelimit

import (
	"container/list"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Keyed holds a token bucket for each key seen lately. It is safe for many
// goroutines.
type Keyed struct {
	capacity int

	mu      sync.Mutex
	buckets map[string]*list.Element
	// recent has the key used last in front.
	recent *list.List
}

type bucket struct {
	key     string
	limiter *rate.Limiter
}

// New makes a limiter that remembers at most capacity keys. Past it the key used
// longest ago is forgotten, and begins with a full bucket when it comes again.
// With a capacity of the keys that exist, nothing is ever forgotten; where callers
// can invent keys, such as addresses, the bound keeps them from taking the memory,
// at the price that one who has very many goes unlimited.
func New(capacity int) *Keyed {
	return &Keyed{capacity: max(capacity, 1), buckets: map[string]*list.Element{}, recent: list.New()}
}

// Allow takes one request of the key into account. It reports whether the request
// is within perSecond, with bursts of up to burst requests; if not, the time after
// which one would be. A rate of 0 or less means no limit. A key whose rate or burst
// changed, because its list did, keeps the tokens it has.
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

// IsExhausted reports whether a request of the key would be past its rate, and takes none into
// account.
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

// Len is the number of keys remembered.
func (k *Keyed) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.recent.Len()
}
