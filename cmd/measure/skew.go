package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/apricothub/apricothub/decide/balance"
)

// The simulated group. Its size is that of the users' groups; the other values are assumptions.
const (
	experts      = 256
	rankCount    = 256
	slotsPerRank = 2
	// tokensPerStep is the number of expert assignments of one step: 4,096 for each rank.
	tokensPerStep   = rankCount * 4096
	stepTime        = 64 * time.Millisecond
	observeInterval = 16 // steps
	zipfExponent    = 0.8
	// expertBytes is the size of one expert's weights. loadRate is the rate of the weight store in
	// bytes per second for the whole group.
	expertBytes = 44 << 20
	loadRate    = 4 << 30
)

// driftPattern is a way in which popularity changes over time. Of long runs only one step per
// sampleInterval is simulated.
type driftPattern struct {
	name           string
	duration       time.Duration
	sampleInterval time.Duration
	popularity     func(t time.Duration) []float64
	// slowdowns returns the slowdown of each rank at a time; nil if all ranks are alike.
	slowdowns func(t time.Duration) []float64
}

// zipf returns a Zipf distribution over the experts, most popular first.
func zipf(exponent float64) []float64 {
	p := make([]float64, experts)
	sum := 0.0
	for i := range p {
		p[i] = math.Pow(float64(i+1), -exponent)
		sum += p[i]
	}
	for i := range p {
		p[i] /= sum
	}
	return p
}

// shiftRunTime is the duration of the runs in whose middle the hottest experts change or a rank
// becomes slower.
const shiftRunTime = 10 * time.Minute

// driftPatterns returns the patterns, each with its own seeded order of experts.
func driftPatterns() []driftPattern {
	base := zipf(zipfExponent)
	rng := rand.New(rand.NewPCG(1, 1))
	order, other := rng.Perm(experts), rng.Perm(experts)
	mix := func(a, b []int, fraction float64) []float64 {
		p := make([]float64, experts)
		for i := range base {
			p[a[i]] += (1 - fraction) * base[i]
			p[b[i]] += fraction * base[i]
		}
		return p
	}
	drifting := func(t time.Duration) []float64 {
		return mix(order, other, float64(t)/float64(time.Hour))
	}
	return []driftPattern{
		{"slow drift", time.Hour, time.Second / 4, drifting, nil},
		{"swap of the hottest", shiftRunTime, stepTime, func(t time.Duration) []float64 {
			swapped := slices.Clone(order)
			if t >= shiftRunTime/2 {
				for i := range 8 {
					swapped[i], swapped[128+i] = swapped[128+i], swapped[i]
				}
			}
			return mix(swapped, swapped, 0)
		}, nil},
		{"daily cycle", 24 * time.Hour, 4 * time.Second, func(t time.Duration) []float64 {
			return mix(order, other, 0.5-0.5*math.Cos(2*math.Pi*float64(t)/float64(24*time.Hour)))
		}, nil},
		{throttledRankName, shiftRunTime, stepTime, drifting, throttledSlowdowns},
	}
}

// throttledRankName is the name of the pattern in which one rank becomes slower in the middle of
// the run.
const throttledRankName = "one rank 1.3 times slower"

const (
	throttledRank     = 17
	throttledSlowdown = 1.3
)

func throttledSlowdowns(t time.Duration) []float64 {
	slowdowns := make([]float64, rankCount)
	for rank := range slowdowns {
		slowdowns[rank] = 1
	}
	if t >= shiftRunTime/2 {
		slowdowns[throttledRank] = throttledSlowdown
	}
	return slowdowns
}

// timeNoise is the relative standard deviation of a rank's measured time.
const timeNoise = 0.02

// rankWork returns what the ranks report about a step, with noise.
func rankWork(rng *rand.Rand, p *balance.Placement, demand balance.Demand) []balance.RankWork {
	tokens, times := p.Loads(demand.Popularity), p.Times(demand)
	work := make([]balance.RankWork, len(tokens))
	for rank := range work {
		noise := 1 + timeNoise*rng.NormFloat64()
		work[rank] = balance.RankWork{Tokens: tokens[rank], Time: time.Duration(times[rank] * noise * float64(time.Microsecond))}
	}
	return work
}

// popularityPolicy is balancerPolicy without the ranks' times.
type popularityPolicy struct{ balancerPolicy }

func (popularityPolicy) observeRanks([]balance.RankWork) {}

// placementPolicy decides on placements. It is implemented by the baselines and by the product's
// balancer.
type placementPolicy interface {
	observe(now time.Duration, tokens []float64)
	observeRanks(ranks []balance.RankWork)
	decide(now time.Duration) (*balance.Placement, bool)
}

// staticPolicy keeps the placement made for the popularity at the start.
type staticPolicy struct{}

func (staticPolicy) observe(time.Duration, []float64) {}

func (staticPolicy) observeRanks([]balance.RankWork) {}

func (staticPolicy) decide(time.Duration) (*balance.Placement, bool) { return nil, false }

// periodicPolicy computes the best placement from scratch in each interval.
type periodicPolicy struct {
	interval time.Duration
	last     time.Duration
	tokens   []float64
}

func (e *periodicPolicy) observe(_ time.Duration, tokens []float64) {
	if e.tokens == nil {
		e.tokens = make([]float64, len(tokens))
	}
	for i, n := range tokens {
		e.tokens[i] = e.tokens[i]/2 + n
	}
}

func (e *periodicPolicy) observeRanks([]balance.RankWork) {}

func (e *periodicPolicy) decide(now time.Duration) (*balance.Placement, bool) {
	if e.tokens == nil || now-e.last < e.interval {
		return nil, false
	}
	e.last = now
	p, err := balance.PlaceFromScratch(balance.Demand{Popularity: normalise(e.tokens)}, rankCount, slotsPerRank)
	return p, err == nil
}

func normalise(tokens []float64) []float64 {
	sum := 0.0
	for _, n := range tokens {
		sum += n
	}
	p := make([]float64, len(tokens))
	for i, n := range tokens {
		p[i] = n / sum
	}
	return p
}

// balancerPolicy is the product's balancer.
type balancerPolicy struct{ *balance.Balancer }

func (o balancerPolicy) observe(now time.Duration, tokens []float64) { o.Observe(now, tokens) }

func (o balancerPolicy) observeRanks(ranks []balance.RankWork) { o.ObserveRanks(ranks) }

func (o balancerPolicy) decide(now time.Duration) (*balance.Placement, bool) { return o.Decide(now) }

// skewResult is the result of one run.
type skewResult struct {
	p50, p99  float64
	moves     int
	switches  int
	bytes     float64
	worstStep float64 // longest step relative to the median, by loading and skew
	recovery  time.Duration
	decision  time.Duration // longest decision
}

// runSkew simulates the steps of one group under a drift pattern and a placement policy.
//
// A new placement takes effect once its weights are loaded at the store's rate. Until then, steps
// run with the old one and none waits. The time of a rank is its tokens multiplied by its slowdown;
// the time of a step is that of the slowest rank.
func runSkew(d driftPattern, policy placementPolicy, start *balance.Placement) skewResult {
	rng, noise := rand.New(rand.NewPCG(7, 7)), rand.New(rand.NewPCG(8, 8))
	placement := start
	var next *balance.Placement
	var effectiveAt time.Duration
	var skews []float64
	var recent []float64
	var result skewResult
	seen := make([]float64, experts)
	shiftAt, recovered := d.duration/2, time.Duration(0)
	for step := 0; ; step++ {
		now := time.Duration(step) * d.sampleInterval
		if now >= d.duration {
			break
		}
		if next != nil && now >= effectiveAt {
			placement, next = next, nil
		}
		tokens := sampleTokens(rng, d.popularity(now))
		demand := balance.Demand{Popularity: tokens}
		if d.slowdowns != nil {
			demand.Slowdowns = d.slowdowns(now)
		}
		skew := demand.Stretch(placement)
		skews = append(skews, skew)
		recent = append(recent, skew)
		for i, n := range tokens {
			seen[i] += n
		}
		if step%observeInterval == 0 {
			policy.observe(now, seen)
			clear(seen)
			policy.observeRanks(rankWork(noise, placement, demand))
			if now > shiftAt && recovered == 0 && slices.Max(recent) < 1.12 {
				recovered = now - shiftAt
			}
			recent = recent[:0]
		}
		if next != nil || step%observeInterval != 0 {
			continue
		}
		began := time.Now()
		p, changed := policy.decide(now)
		result.decision = max(result.decision, time.Since(began))
		if changed {
			moves := balance.Moves(placement, p)
			next = p
			effectiveAt = now + time.Duration(float64(moves)*expertBytes/loadRate*float64(time.Second))
			result.moves += moves
			result.switches++
		}
	}
	slices.Sort(skews)
	result.p50 = skews[len(skews)/2]
	result.p99 = skews[len(skews)*99/100]
	result.worstStep = skews[len(skews)-1] / result.p50
	result.bytes = float64(result.moves) * expertBytes
	result.recovery = recovered
	return result
}

// sampleTokens draws the number of tokens of each expert in a step.
func sampleTokens(rng *rand.Rand, popularity []float64) []float64 {
	tokens := make([]float64, len(popularity))
	for i, p := range popularity {
		// Normal approximation of the binomial distribution; the counts are in the hundreds.
		mean := p * tokensPerStep
		tokens[i] = max(0, math.Round(mean+math.Sqrt(mean*(1-p))*rng.NormFloat64()))
	}
	return tokens
}

func measureSkew() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d experts on %d ranks of %d slots, Zipf %.1f, %d assignments a step of %v; an expert has %d MiB, the store gives %d GiB/s.\n",
		experts, rankCount, slotsPerRank, zipfExponent, tokensPerStep, stepTime, expertBytes>>20, loadRate>>30)
	fmt.Fprintf(&b, "Skew is the time of the last rank over that of an ideal placement: with ranks all alike, the busiest rank's tokens over the mean. Recovery is the time from the swap, or from when the rank became slower, until a window of %d steps stays under 1.12.\n\n", observeInterval)
	fmt.Fprintf(&b, "| drift | policy | skew p50 | skew p99 | experts moved | GiB loaded | switches | longest step / usual | recovery | slowest decision |\n")
	fmt.Fprintf(&b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, d := range driftPatterns() {
		start, err := balance.PlaceFromScratch(balance.Demand{Popularity: d.popularity(0)}, rankCount, slotsPerRank)
		if err != nil {
			return err.Error()
		}
		policies := []struct {
			name   string
			policy placementPolicy
		}{
			{"static map", staticPolicy{}},
			{"full rebalance every 5 s", &periodicPolicy{interval: 5 * time.Second}},
			{"own, first version", balancerPolicy{balance.New(balance.Config{TriggerSkew: 1.06, TargetSkew: 1.03, MaxRepackMoves: 32, LoadCost: 5 * time.Millisecond}, start, 0)}},
			{"own, by popularity alone", popularityPolicy{balancerPolicy{balance.New(balance.Config{}, start, 0)}}},
			{"own", balancerPolicy{balance.New(balance.Config{}, start, 0)}},
		}
		for _, p := range policies {
			r := runSkew(d, p.policy, start)
			recovery := "-"
			if d.duration == shiftRunTime {
				recovery = "not within the run"
				if r.recovery > 0 {
					recovery = r.recovery.Round(100 * time.Millisecond).String()
				}
			}
			fmt.Fprintf(&b, "| %s | %s | %.3f | %.3f | %d | %.1f | %d | %.2f | %s | %.1f ms |\n",
				d.name, p.name, r.p50, r.p99, r.moves, r.bytes/(1<<30), r.switches, r.worstStep, recovery, float64(r.decision.Microseconds())/1000)
		}
	}
	return b.String()
}
