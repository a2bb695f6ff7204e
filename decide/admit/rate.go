package admit

import "time"

// bucketKey names one bucket: a key, or a customer for requests without one.
type bucketKey struct {
	customer string
	key      uint64
}

// bucket holds the requests that a key may still make now.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// takeToken takes one request off a key's rate. It returns zero when there was
// one, and otherwise the time until there is.
//
// Load: one key in a loop, such as a script that retries without a pause. Harm
// prevented: the customer's own other keys go short, which shares between
// customers can't prevent.
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
