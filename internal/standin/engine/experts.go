package engine

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// Experts is how many tokens each expert has had, or gets each second.
type Experts struct {
	Tokens []float64 `json:"tokens"`
	// Paces are, when set, how much longer than usual each rank of the engine takes.
	Paces []float64 `json:"paces,omitempty"`
	// Ranks are the engine's own, when shown.
	Ranks []RankCount `json:"ranks,omitempty"`
}

// RankCount is how many tokens a rank has had, and how long it took for them.
type RankCount struct {
	Tokens  float64 `json:"tokens"`
	Seconds float64 `json:"seconds"`
}

// rankTokens is how many tokens each rank gets in a second, tokenTime how long a usual
// rank takes for one.
const (
	rankTokens = 10_000.0
	tokenTime  = 10 * time.Microsecond
)

// popularity plays the routing of tokens to experts: each gets its tokens a second.
type popularity struct {
	web.Watched
	rates, counts []float64
	ranks         []RankCount
	paces         []float64
	at            time.Time
}

func (p *popularity) set(rates Experts) {
	p.count()
	p.Do(func() {
		p.rates = rates.Tokens
		p.paces = rates.Paces
	})
}

func (p *popularity) count() (experts Experts) {
	p.Do(func() {
		now := time.Now()
		if len(p.counts) != len(p.rates) {
			p.counts = make([]float64, len(p.rates))
		}
		for i, rate := range p.rates {
			p.counts[i] += rate * now.Sub(p.at).Seconds()
		}
		p.work(now.Sub(p.at).Seconds())
		p.at = now
		experts.Tokens = slices.Clone(p.counts)
		experts.Ranks = slices.Clone(p.ranks)
	})
	return experts
}

// work counts what the ranks did in some seconds.
func (p *popularity) work(seconds float64) {
	for i := range p.ranks {
		pace := 1.0
		if i < len(p.paces) {
			pace = p.paces[i]
		}
		p.ranks[i].Tokens += rankTokens * seconds
		p.ranks[i].Seconds += rankTokens * seconds * pace * tokenTime.Seconds()
	}
}
