package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/retry"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/platform"
)

const (
	// topicRetries holds the ledgers of the reserves of retries, keyed by service.
	topicRetries = "keyed.retries"
	// maxClaimTries limits the tries of one claim when other entries claim at the same time, and
	// maxClaimPause the random pause between two of them.
	maxClaimTries = 3
	maxClaimPause = 30 * time.Millisecond
	// defaultWritesPerSecond is the store's limit of write calls if the settings state none.
	defaultWritesPerSecond = 400
	// spentReserveRatio is the part of these calls that the claims of all entries may take while the reserve is
	// spent and they look for room.
	spentReserveRatio = 0.1
	// minClaimBackoff and maxClaimBackoff limit the time without claims after the store has not answered.
	minClaimBackoff = time.Second
	maxClaimBackoff = 8 * time.Second
)

// errReserveSpent means that nothing of a reserve can be claimed now.
var errReserveSpent = errors.New("the reserve of retries is spent")

// maintainRetryClaims claims retries from the reserves in the store while requests need them.
func (g *Gateway) maintainRetryClaims(ctx context.Context) error {
	backoff := minClaimBackoff
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.fleet.retries.needed:
		}
		for service, wanted := range g.fleet.retries.wanted() {
			err := g.claimRetries(ctx, service, wanted)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			backoff = g.endClaim(service, err, backoff, clock.Now())
		}
		if err := sleep(ctx, g.claimInterval(1)); err != nil {
			return err
		}
	}
}

// endClaim tells the requests of a service that wait what became of a claim. backoff is the time without
// claims if the store has not answered; endClaim returns it for the next time.
func (g *Gateway) endClaim(service string, err error, backoff, now time.Duration) time.Duration {
	retries := g.fleet.retries
	switch {
	case err == nil:
		return minClaimBackoff
	case errors.Is(err, errReserveSpent):
		retries.refuse(service, max(retries.nextRoom(service, now), now+g.claimInterval(spentReserveRatio)), now)
		return backoff
	case errors.Is(err, platform.ErrOffsetMismatch):
		// Others have claimed each time; the requests wait for the next claim.
		retries.requestClaim()
		return backoff
	}
	_ = level.Warn(retries.logger).Log("msg", "No retries could be claimed from the reserve in the store.", "service", service, "err", err,
		"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
	retries.refuse(service, now+max(backoff, g.maxStoreBackoff()), now)
	return min(2*backoff, maxClaimBackoff)
}

// claimInterval returns the time between two claims of this entry with which the claims of all entries take the
// given part of the store's write calls. It is random, so that entries that begin together do not go on so.
func (g *Gateway) claimInterval(ratio float64) time.Duration {
	perSecond := g.settings.Store.WritesPerSecond
	if perSecond <= 0 {
		perSecond = defaultWritesPerSecond
	}
	entries := 1
	if v := g.view.Load(); v != nil {
		entries = max(v.entries, 1)
	}
	mean := float64(entries) / (perSecond * ratio) * float64(time.Second)
	return time.Duration(mean * (0.5 + rand.Float64()))
}

// claimRetries claims the wanted number of retries of a service, or fewer, from its reserve.
func (g *Gateway) claimRetries(ctx context.Context, service string, wanted int) error {
	for try := 1; ; try++ {
		err := g.tryClaim(ctx, service, wanted)
		if !errors.Is(err, platform.ErrOffsetMismatch) || try == maxClaimTries {
			return err
		}
		if err := sleep(ctx, rand.N(maxClaimPause)); err != nil {
			return err
		}
	}
}

func (g *Gateway) tryClaim(ctx context.Context, service string, wanted int) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := g.store.ListNewest(ctx, topicRetries)
	if err != nil {
		return errors.Wrap(err, "read retry claims")
	}
	read := g.readClaims(listing, service)
	sentAt := clock.Now()
	claims, tokens := g.fleet.retries.draw(service, read, rand.Uint64(), wanted, sentAt)
	if tokens == 0 {
		return errReserveSpent
	}
	value, err := proto.Marshal(claimsMessage(claims))
	if err != nil {
		return errors.Wrap(err, "encode retry claims")
	}
	if err := g.store.PutUnlessChanged(ctx, topicRetries, service, value, listing.End); err != nil {
		return errors.Wrap(err, "write retry claim")
	}
	g.fleet.retries.grant(service, tokens, sentAt+retry.ClaimLifetime, clock.Now())
	return nil
}

// readClaims returns the claims of a service. A record that cannot be read is replaced by the next claim, since
// it would stand there for good.
func (g *Gateway) readClaims(listing platform.Listing, service string) []retry.Claim {
	message := &api.RetryClaims{}
	for _, r := range listing.Records {
		if r.Key != service {
			continue
		}
		if err := proto.Unmarshal(r.Value, message); err != nil {
			_ = level.Warn(g.fleet.retries.logger).Log("msg", "The retries claimed from the reserve could not be decoded and count as none.",
				"service", service, "offset", r.Offset, "err", err, "result", result.Label(api.ResultCode_BAD_LIST))
			return nil
		}
	}
	claims := make([]retry.Claim, 0, len(message.GetClaims()))
	for _, c := range message.GetClaims() {
		claims = append(claims, retry.Claim{ID: c.GetId(), Tokens: int(c.GetTokens()), Age: time.Duration(c.GetAgeMs()) * time.Millisecond})
	}
	return claims
}

func claimsMessage(claims []retry.Claim) *api.RetryClaims {
	message := &api.RetryClaims{}
	for _, c := range claims {
		message.Claims = append(message.Claims, &api.RetryClaim{Id: c.ID, Tokens: uint32(c.Tokens), AgeMs: uint32(c.Age.Milliseconds())})
	}
	return message
}
