package throttle

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/apricothub/apricothub/decide/internal/steady"
	"github.com/apricothub/apricothub/decide/subset"
)

const (
	// toleranceWindow, maxRatio and slack are what a server with a limit tolerates: in any such window,
	// in seconds, it may get maxRatio times what the limit allows, and slack requests more.
	toleranceWindow = 4
	maxRatio        = 1.5
	slack           = 5
	// burstRatio is the part of the tolerance that the bursts of all shares together may use. The rest
	// is for entries that do not know of the limit or of each other yet.
	burstRatio = 0.5
)

// totalBurst returns how many requests all entries together may send at once beyond the rate.
func totalBurst(perSecond float64) float64 {
	return burstRatio * (toleranceWindow*(maxRatio-1)*perSecond + slack)
}

// share is one entry's share of a limit.
type share struct {
	limiter *rate.Limiter
}

// shareOf returns this entry's share of a server's limit, nil for none.
func (l *Limits) shareOf(key uint32, s *server, now time.Duration) *share {
	if s.generation == l.generation {
		return s.share
	}
	s.generation = l.generation
	total := totalBurst(s.rate)
	holders := max(1, min(int(total), len(l.entries)))
	if !subset.IsChosen(uint64(key), l.self, l.entries, holders) {
		s.share = nil
		return nil
	}
	perSecond, burst := rate.Limit(s.rate/float64(holders)), int(total/float64(holders))
	if s.share == nil {
		s.share = newShare(perSecond, burst, l.rng.Float64(), now)
		return s.share
	}
	s.share.limiter.SetLimitAt(steady.Time(now), perSecond)
	s.share.limiter.SetBurstAt(steady.Time(now), burst)
	return s.share
}

// newShare returns a share with the given part of a token, from 0 to 1, so that entries that learn of
// a limit at the same moment do not send at the same moment too.
func newShare(perSecond rate.Limit, burst int, tokens float64, now time.Duration) *share {
	s := &share{limiter: rate.NewLimiter(perSecond, burst)}
	accruedSince := now - time.Duration(tokens/float64(perSecond)*float64(time.Second))
	s.limiter.AllowN(steady.Time(accruedSince), burst)
	return s
}

func (s *share) allow(now time.Duration) bool { return s.limiter.AllowN(steady.Time(now), 1) }

func (s *share) perSecond() float64 { return float64(s.limiter.Limit()) }

// next returns the time until a request is allowed.
func (s *share) next(now time.Duration) time.Duration {
	missing := 1 - s.limiter.TokensAt(steady.Time(now))
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / s.perSecond() * float64(time.Second))
}
