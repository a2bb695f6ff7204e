package engine

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// ExpertTokens is how many tokens each expert has had, or gets each second.
type ExpertTokens struct {
	Tokens []float64 `json:"tokens"`
	// Slowdowns are, when set, how much longer than usual each rank of the engine takes.
	Slowdowns []float64 `json:"paces,omitempty"`
	// Ranks are the engine's own, when shown.
	Ranks []RankTotals `json:"ranks,omitempty"`
}

// RankTotals is how many tokens a rank has had, and how long it took for them.
type RankTotals struct {
	Tokens  float64 `json:"tokens"`
	Seconds float64 `json:"seconds"`
}

// rankTokensPerSecond is how many tokens each rank gets in a second, typicalTokenTime how long a usual
// rank takes for one.
const (
	rankTokensPerSecond = 10_000.0
	typicalTokenTime    = 10 * time.Microsecond
)

// popularity plays the routing of tokens to experts: each gets its tokens a second.
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

// advanceRanks counts what the ranks did in some seconds.
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
