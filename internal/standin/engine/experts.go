package engine

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// ExpertTokens holds the tokens routed to each expert: the totals in a response, the rates per
// second in a control request.
type ExpertTokens struct {
	Tokens []float64 `json:"tokens"`
	// Slowdowns, if set, are each rank's time per token relative to a typical rank.
	Slowdowns []float64 `json:"paces,omitempty"`
	// Ranks, in responses, are the totals of the engine's ranks.
	Ranks []RankTotals `json:"ranks,omitempty"`
}

// RankTotals is the number of tokens that a rank has processed and the time that it took.
type RankTotals struct {
	Tokens  float64 `json:"tokens"`
	Seconds float64 `json:"seconds"`
}

// rankTokensPerSecond is the number of tokens that each rank gets in a second. typicalTokenTime is
// the time that a typical rank takes for one.
const (
	rankTokensPerSecond = 10_000.0
	typicalTokenTime    = 10 * time.Microsecond
)

// popularity simulates the routing of tokens to experts at fixed rates.
type popularity struct {
	web.Monitor
	rates, counts []float64
	ranks         []RankTotals
	slowdowns     []float64
	updatedAt     time.Time
}

func (p *popularity) set(rates ExpertTokens) {
	p.advance()
	p.WithLock(func() {
		p.rates = rates.Tokens
		p.slowdowns = rates.Slowdowns
	})
}

func (p *popularity) advance() (experts ExpertTokens) {
	p.WithLock(func() {
		now := time.Now()
		if len(p.counts) != len(p.rates) {
			p.counts = make([]float64, len(p.rates))
		}
		for i, rate := range p.rates {
			p.counts[i] += rate * now.Sub(p.updatedAt).Seconds()
		}
		p.advanceRanks(now.Sub(p.updatedAt).Seconds())
		p.updatedAt = now
		experts.Tokens = slices.Clone(p.counts)
		experts.Ranks = slices.Clone(p.ranks)
	})
	return experts
}

// advanceRanks adds the work of the ranks in that many seconds to their totals.
func (p *popularity) advanceRanks(seconds float64) {
	for i := range p.ranks {
		slowdown := 1.0
		if i < len(p.slowdowns) {
			slowdown = p.slowdowns[i]
		}
		p.ranks[i].Tokens += rankTokensPerSecond * seconds
		p.ranks[i].Seconds += rankTokensPerSecond * seconds * slowdown * typicalTokenTime.Seconds()
	}
}
