package balance

import (
	"math"
	"time"
)

// Config holds the limits of rebalancing. A zero field takes its default.
type Config struct {
	// TriggerSkew is the skew past which a better placement is looked for, TargetSkew the
	// one at which the search stops. Defaults 1.03 and 1.01. Between the two nothing
	// is done, so that noise around one limit does not move experts to and fro.
	TriggerSkew, TargetSkew float64
	// MaxImproveMoves is the most experts loaded where single steps mend the skew, MaxRepackMoves
	// where they do not. Defaults 32 and 256.
	MaxImproveMoves, MaxRepackMoves int
	// MinInterval is the least time between new placements. Default 2 s. Past the skew
	// Urgent, 1.25 by default, a quarter of it.
	MinInterval time.Duration
	UrgentSkew  float64
	// AverageTimeConstant is the time constant of the average of popularity. Default 10 s.
	AverageTimeConstant time.Duration
	// ChangeDistance is the distance between what was just seen and the average, in parts of
	// all tokens, past which the average is dropped. Default 0.05: far above the
	// noise of one observation, and far below a change of a hot expert.
	ChangeDistance float64
	// LoadCost is the time, summed over the steps that run while it loads, that one
	// expert's load costs the group. Default 1 ms.
	LoadCost time.Duration
	// Horizon is how long a new placement is expected to stay good. Default 20 s.
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

// Balancer follows the popularity of one group's experts and decides when another
// placement is worth its cost.
type Balancer struct {
	cfg           Config
	placement     *Placement
	popularity    []float64 // parts of all tokens, averaged
	slowdowns     slowdownTracker
	hasPopularity bool
	observedAt    time.Duration
	changedAt     time.Duration
}

// New returns a balancer for a group that runs with a placement since now.
func New(cfg Config, placement *Placement, now time.Duration) *Balancer {
	return &Balancer{
		cfg:        cfg.withDefaults(),
		placement:  placement.Clone(),
		popularity: make([]float64, placement.Experts),
		changedAt:  now,
	}
}

// Placement returns the placement last decided on.
func (b *Balancer) Placement() *Placement { return b.placement }

// Observe takes the tokens that each expert got since the last observation.
//
// Load: counts with noise, on a popularity that drifts or changes at once. The average
// rides out the noise; after a sudden change it would mix the old popularity with the
// new and place for neither, so it is dropped when what was just seen is too far from
// it.
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

// Popularity returns what the decisions go by, as parts of all tokens.
func (b *Balancer) Popularity() []float64 { return b.popularity }

// ObserveRanks takes what each rank of the group did since the last observation, all of
// it under one placement.
//
// Load: a rank whose accelerator is throttled or shares its host. Harm prevented: a
// placement that is even by tokens, in which all ranks wait for the slow one in each
// step.
func (b *Balancer) ObserveRanks(ranks []RankWork) {
	if len(ranks) == b.placement.Ranks {
		b.slowdowns.observe(ranks)
	}
}

// SlowRanks returns the ranks that stay more than maxPace times slower than their group,
// the slowest first. Nothing is decided on them here: they are for operators to replace.
func (b *Balancer) SlowRanks() []SlowRank { return b.slowdowns.slowRanks() }

// Demand returns what the decisions go by.
func (b *Balancer) Demand() Demand {
	return Demand{Popularity: b.popularity, Slowdowns: b.slowdowns.effective()}
}

// Stretch returns the expected stretch of steps under the present placement.
func (b *Balancer) Stretch() float64 { return b.Demand().Stretch(b.placement) }

// Decide returns a new placement and true when one is worth its cost now.
//
// Load: popularity that drifts all the time, slowly or at once, and ranks that become
// slower than others. Harm prevented: a busiest rank that makes all others wait; and loading so many experts, so often, that
// it costs more than it saves. The saving is the time by which steps get shorter over
// the horizon; the cost is the time that the loads take from the steps.
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
		// A few moves do not mend it; more may.
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

// netSaving is the time saved over the horizon less the time that loading costs.
func (b *Balancer) netSaving(demand Demand, before float64, better *Placement) float64 {
	moves := Moves(b.placement, better)
	after := demand.Stretch(better)
	saved := (before - after) / before * float64(b.cfg.Horizon)
	return saved - float64(moves)*float64(b.cfg.LoadCost)
}
