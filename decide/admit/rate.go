package admit

import "time"

// bucketKey identifies a bucket: an API key, or a customer for requests without one.
type bucketKey struct {
	customer string
	key      uint64
}

// bucket is the token bucket of one API key.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// takeToken takes one token from the bucket of the request's key. It returns zero, or the time
// until a token is available.
//
// A single key in a loop, such as a script that retries without a backoff, would otherwise use up
// the share of the customer's other keys, which shares between customers can't prevent.
func (a *Admitter) takeToken(now time.Duration, r Request, share CustomerShare) time.Duration {
	if share.Rate <= 0 {
		return 0
	}
	maxTokens := max(share.Rate*a.cfg.RateBurstSeconds, 1)
	key := bucketKey{customer: r.Customer, key: r.Key}
	b, ok := a.buckets[key]
	if !ok {
		b = &bucket{tokens: maxTokens, updatedAt: now}
		a.buckets[key] = b
	}
	b.tokens = min(b.tokens+share.Rate*(now-b.updatedAt).Seconds(), maxTokens)
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return time.Duration((1 - b.tokens) / share.Rate * float64(time.Second))
}
