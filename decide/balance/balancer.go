package balance

import (
	"math"
	"time"
)

// Config holds the thresholds and limits of rebalancing. A zero field takes its default.
type Config struct {
	// TriggerSkew is the skew above which the balancer searches for a better placement, TargetSkew
	// the skew at which the search stops. Defaults 1.03 and 1.01. The gap is hysteresis: with a
	// single threshold, noise around it would move experts back and forth.
	TriggerSkew, TargetSkew float64
	// MaxImproveMoves limits the experts that Improve loads. When Improve does not bring the skew
	// below TriggerSkew, Repack is tried as well; MaxRepackMoves limits the moves of its final
	// Improve. Defaults 32 and 256.
	MaxImproveMoves, MaxRepackMoves int
	// MinInterval is the minimum time between two new placements. Default 2 s. While the skew is
	// above UrgentSkew, 1.25 by default, a quarter of MinInterval applies.
	MinInterval time.Duration
	UrgentSkew  float64
	// AverageTimeConstant is the time constant of the moving average of popularity. Default 10 s.
	AverageTimeConstant time.Duration
	// ChangeDistance is the distance between an observation and the average, as a fraction of all
	// tokens, above which the average is discarded. Default 0.05, which is far above the noise of
	// one observation and far below a change of a hot expert.
	ChangeDistance float64
	// LoadCost is the total delay that loading one expert adds to the steps running meanwhile.
	// Default 1 ms.
	LoadCost time.Duration
	// Horizon is how long a new placement is expected to remain good. Default 20 s.
	Horizon time.Duration
}

func (c Config) withDefaults() Config {
	setDefaultFloat(&c.TriggerSkew, 1.03)
	setDefaultFloat(&c.TargetSkew, 1.01)
	setDefaultFloat(&c.UrgentSkew, 1.25)
	setDefaultFloat(&c.ChangeDistance, 0.05)
	setDefaultDuration(&c.MinInterval, 2*time.Second)
	setDefaultDuration(&c.AverageTimeConstant, 10*time.Second)
	setDefaultDuration(&c.LoadCost, time.Millisecond)
	setDefaultDuration(&c.Horizon, 20*time.Second)
	setDefaultInt(&c.MaxImproveMoves, 32)
	setDefaultInt(&c.MaxRepackMoves, 256)
	return c
}

func setDefaultInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

func setDefaultFloat(f *float64, value float64) {
	if *f == 0 {
		*f = value
	}
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Balancer tracks the popularity of the experts of one group and decides when another placement is
// worth its cost.
type Balancer struct {
	cfg           Config
	placement     *Placement
	popularity    []float64 // fractions of all tokens, averaged
	slowdowns     slowdownTracker
	hasPopularity bool
	observedAt    time.Duration
	changedAt     time.Duration
}

// New returns a balancer for a group that has run with a placement since now.
func New(cfg Config, placement *Placement, now time.Duration) *Balancer {
	return &Balancer{
		cfg:        cfg.withDefaults(),
		placement:  placement.Clone(),
		popularity: make([]float64, placement.Experts),
		changedAt:  now,
	}
}

// Placement returns the placement of the latest decision.
func (b *Balancer) Placement() *Placement { return b.placement }

// Observe records the tokens that each expert received since the last observation.
//
// Counts are noisy, and popularity either drifts or changes abruptly. The moving average suppresses
// the noise. After an abrupt change it would mix the old and the new popularity and produce a
// placement that fits neither, so it is discarded when an observation is too far from it.
func (b *Balancer) Observe(now time.Duration, tokens []float64) {
	sample := normalize(tokens)
	if sample == nil {
		return
	}
	oldWeight := math.Exp(-float64(now-b.observedAt) / float64(b.cfg.AverageTimeConstant))
	if !b.hasPopularity || distance(b.popularity, sample) > b.cfg.ChangeDistance {
		oldWeight = 0
	}
	b.hasPopularity = true
	b.observedAt = now
	for i, fraction := range sample {
		b.popularity[i] = oldWeight*b.popularity[i] + (1-oldWeight)*fraction
	}
}

// Popularity returns the popularity that decisions are based on, as fractions of all tokens.
func (b *Balancer) Popularity() []float64 { return b.popularity }

// ObserveRanks records the work of each rank of the group since the last observation, all of it
// under one placement.
//
// A rank whose accelerator is throttled or shares its host is slower than the others. A placement
// that is even by tokens would make all ranks wait for it in each step.
func (b *Balancer) ObserveRanks(ranks []RankWork) {
	if len(ranks) == b.placement.Ranks {
		b.slowdowns.observe(ranks)
	}
}

// SlowRanks returns the ranks that stay more than maxSlowdown times slower than their group, the
// slowest first. They do not affect decisions; operators have to replace them.
func (b *Balancer) SlowRanks() []SlowRank { return b.slowdowns.slowRanks() }

// Demand returns the demand that decisions are based on.
func (b *Balancer) Demand() Demand {
	return Demand{Popularity: b.popularity, Slowdowns: b.slowdowns.effective()}
}

// Stretch returns the expected stretch of steps under the current placement.
func (b *Balancer) Stretch() float64 { return b.Demand().Stretch(b.placement) }

// Decide returns a new placement and true when one is worth its cost now.
//
// Popularity drifts slowly or changes abruptly, and ranks become slower than others; all ranks then
// wait for the busiest one. Loading too many experts, or too often, costs more than it saves. The
// saving is the time by which steps get shorter over the horizon; the cost is the delay that
// loading adds to the steps.
func (b *Balancer) Decide(now time.Duration) (*Placement, bool) {
	if !b.hasPopularity {
		return nil, false
	}
	demand := b.Demand()
	before := demand.Stretch(b.placement)
	interval := b.cfg.MinInterval
	if before > b.cfg.UrgentSkew {
		interval /= 4
	}
	if before <= b.cfg.TriggerSkew || now-b.changedAt < interval {
		return nil, false
	}
	better := Improve(b.placement, demand, b.cfg.TargetSkew, b.cfg.MaxImproveMoves)
	saving := b.netSaving(demand, before, better)
	if demand.Stretch(better) > b.cfg.TriggerSkew {
		// A few moves do not reduce the skew enough; more may.
		repacked := Repack(b.placement, demand, b.cfg.TargetSkew, b.cfg.MaxRepackMoves)
		if repackSaving := b.netSaving(demand, before, repacked); repackSaving > saving {
			better, saving = repacked, repackSaving
		}
	}
	if saving <= 0 {
		return nil, false
	}
	b.placement = better
	b.changedAt = now
	return better, true
}

// netSaving returns the time saved over the horizon minus the time that loading costs.
func (b *Balancer) netSaving(demand Demand, before float64, better *Placement) float64 {
	moves := Moves(b.placement, better)
	after := demand.Stretch(better)
	saved := (before - after) / before * float64(b.cfg.Horizon)
	return saved - float64(moves)*float64(b.cfg.LoadCost)
}
