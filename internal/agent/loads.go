package agent

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/rollout"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// orderPoll is the time between looks at what still runs while an order waits.
	orderPoll = 20 * time.Millisecond
	// orderRetry is the wait after an order that failed, doubled up to orderRetryMax:
	// a weight store that is overloaded must not be asked without a pause.
	orderRetry    = 200 * time.Millisecond
	orderRetryMax = 10 * time.Second
)

// loads is what the engine has loaded and the order that it is being brought to. The
// executor's lock guards it.
type loads struct {
	start    held // by the settings
	version  string
	adapters []string
	// newest is the highest fencing number of an order taken.
	newest int64
	// order is under way; nil for none.
	order *api.LoadOrder
	// begun tells carryOut of an order.
	begun chan struct{}
	// changes counts the orders that began or ended: an answer of the engine from
	// before one is not taken for later.
	changes uint64
	// fixed says that the engine takes no orders.
	fixed bool
}

func newLoads(settings *api.Backend) loads {
	start := held{Version: settings.GetModelVersion(), Adapters: settings.GetAdapters()}
	return loads{start: start, version: start.Version, adapters: start.Adapters, newest: -1, begun: make(chan struct{}, 1)}
}

// takeOrder begins an order, or puts a newer one in the place of that under way.
//
// The fence is the offset of the uses list that the sender went by. The log gives one
// order to all lists, so that an order of an entry that is behind, or one that sat in a
// silent link, is known as old: here by the list that this agent has applied, and at the
// engine, if it checks, by the orders that it has had.
func (e *executor) takeOrder(order *api.LoadOrder, applied int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := &e.loads
	if order.GetFence() < max(applied, l.newest) || order.GetModel() != e.settings.GetModel() || l.fixed {
		return
	}
	if l.order.GetFence() == order.GetFence() && l.order != nil {
		return // It comes again until a report tells of it.
	}
	l.newest = order.GetFence()
	if l.order == nil && wantOf(order).IsMetBy(l.version, l.adapters) {
		return
	}
	l.order = order
	l.changes++
	e.loading.Store(true)
	select {
	case l.begun <- struct{}{}:
	default: // carryOut has yet to see that an earlier one began.
	}
	_ = e.logger.Log("msg", "The engine is to load another version.", "version", order.GetVersion(), "fence", order.GetFence())
}

func wantOf(order *api.LoadOrder) rollout.Target {
	return rollout.Target{Version: order.GetVersion(), Adapters: order.GetAdapters(), Fence: order.GetFence()}
}

// carryOut brings the engine to one order after another.
func (e *executor) carryOut(ctx context.Context) error {
	retry := orderRetry
	for ctx.Err() == nil {
		order, quiet := e.pending()
		switch {
		case order == nil:
			select {
			case <-e.loads.begun:
			case <-ctx.Done():
			}
			continue
		case !quiet:
			wait(ctx, orderPoll)
			continue
		}
		err := e.bring(ctx, order)
		switch {
		case err == nil, errors.Is(err, errOldFence), errors.Is(err, errMissing):
			e.orderEnded(order, err)
			retry = orderRetry
		default:
			// The order stands, and the engine gets no work: while it fails it
			// counts as away, which holds up the rollout before it takes down more.
			_ = e.logger.Log("msg", "The engine could not load what was ordered.", "result", backendFailed, "version", order.GetVersion(), "fence", order.GetFence(), "err", err)
			e.awaitRetry(ctx, order, retry)
			retry = min(2*retry, orderRetryMax)
		}
	}
	return ctx.Err()
}

// pending returns the order under way, and whether nothing runs at the engine any more.
// Work that was decided on before the order began is counted as running by then, and
// looks at refusing again before it is sent.
func (e *executor) pending() (*api.LoadOrder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loads.order, e.loads.order != nil && e.asked && e.limiter.Running() == 0
}

// bring gives the engine the orders it lacks. What it holds is asked first: an earlier
// order, whose answer was lost, may have been carried out.
func (e *executor) bring(ctx context.Context, order *api.LoadOrder) error {
	has, err := e.holds(ctx)
	if err != nil {
		return err
	}
	give := engineOrder{Fence: order.GetFence(), Kind: orderModel, Model: order.GetModel(), Version: order.GetVersion()}
	if order.GetVersion() != "" && has.Version != order.GetVersion() {
		// Adapters belong to the version that they were loaded for.
		if err := e.give(ctx, give, has, held{Version: order.GetVersion()}); err != nil {
			return err
		}
		has = held{Version: order.GetVersion()}
	}
	give.Kind = orderAdapter
	for _, adapter := range order.GetAdapters() {
		if slices.Contains(has.Adapters, adapter) {
			continue
		}
		give.Adapter = adapter
		with := held{Version: has.Version, Adapters: append(slices.Clone(has.Adapters), adapter)}
		if err := e.give(ctx, give, has, with); err != nil {
			return err
		}
		has = with
	}
	e.setHeld(has)
	return nil
}

// give gives one order. Until it is known to have been carried out nobody knows what the
// engine holds: a failed order may have been carried out, and an engine that does not
// tell what it holds would be taken for one that still has the old version.
func (e *executor) give(ctx context.Context, order engineOrder, before, after held) error {
	e.setHeld(held{})
	err := e.backend.order(ctx, order)
	switch {
	case err == nil:
		e.setHeld(after)
	case errors.Is(err, errOldFence), errors.Is(err, errMissing):
		e.setHeld(before)
	}
	return err
}

func (e *executor) setHeld(has held) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads.version = has.Version
	e.loads.adapters = slices.Clone(has.Adapters)
}

// holds asks the engine what it has. One that does not tell has what the settings say
// or was last loaded here.
func (e *executor) holds(ctx context.Context) (held, error) {
	has, err := e.backend.holds(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case errors.Is(err, errMissing):
		return held{Version: e.loads.version, Adapters: slices.Clone(e.loads.adapters)}, nil
	case err == nil && has.Version == "":
		// It was started anew, or never had an order.
		has.Version = e.loads.start.Version
		has.Adapters = append(slices.Clone(e.loads.start.Adapters), has.Adapters...)
	}
	return has, err
}

// orderEnded opens the agent for work again unless a newer order has come.
func (e *executor) orderEnded(order *api.LoadOrder, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := &e.loads
	if errors.Is(err, errMissing) {
		l.fixed = true
	} else {
		// New weights: the engine's caches are empty whatever it says.
		e.limiter.AssumeCold()
	}
	if errors.Is(err, errOldFence) {
		// Tried again it would be refused again, and the engine be away each time.
		l.newest = max(l.newest, order.GetFence()+1)
	}
	l.changes++
	if l.order != order && !l.fixed {
		return
	}
	l.order = nil
	e.loading.Store(false)
	ended := result.Label(api.ResultCode_OK)
	if err != nil {
		ended = backendFailed
	}
	_ = e.logger.Log("msg", "The order to load has ended.", "result", ended, "version", l.version, "fence", order.GetFence(), "err", err)
}

// awaitRetry waits, or until another order takes the place of the one that failed.
func (e *executor) awaitRetry(ctx context.Context, order *api.LoadOrder, retry time.Duration) {
	limit := clock.Now() + retry
	for clock.Now() < limit && ctx.Err() == nil {
		if now, _ := e.pending(); now != order {
			return
		}
		wait(ctx, orderPoll)
	}
}

// watchVersion follows what the engine holds, which changes without an order when it is
// replaced, and is not what the settings say when this agent is.
func (e *executor) watchVersion(ctx context.Context) {
	for ctx.Err() == nil {
		before := e.loadChanges()
		if has, err := e.holds(ctx); err == nil {
			e.noteHeld(has, before)
		}
		e.pace.wait(ctx)
	}
}

func (e *executor) loadChanges() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loads.changes
}

func (e *executor) noteHeld(has held, before uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loads.changes == before && e.loads.order == nil {
		e.loads.version = has.Version
		e.loads.adapters = has.Adapters
	}
}
