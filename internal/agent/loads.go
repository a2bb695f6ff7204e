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
	// orderPollInterval is the time between checks whether work still runs while an order waits.
	orderPollInterval = 20 * time.Millisecond
	// orderBackoff is the wait after an order that failed. It doubles up to maxOrderBackoff: an
	// overloaded weight store must not be asked without a pause.
	orderBackoff    = 200 * time.Millisecond
	maxOrderBackoff = 10 * time.Second
)

// modelState is what the engine has loaded and the order that is being carried out. The executor's
// lock guards it.
type modelState struct {
	configured loadedModel // from the settings
	version    string
	adapters   []string
	// newestFence is the highest fence of an accepted order.
	newestFence int64
	// order is the order being carried out; nil for none.
	order *api.LoadOrder
	// orderArrived wakes runOrders when an order arrives.
	orderArrived chan struct{}
	// orderChanges counts the orders that began or ended, so that an engine's answer from before
	// one is not applied after it.
	orderChanges uint64
	// takesNoOrders says that the engine does not support orders.
	takesNoOrders bool
}

func newModelState(settings *api.Backend) modelState {
	configured := loadedModel{Version: settings.GetModelVersion(), Adapters: settings.GetAdapters()}
	return modelState{configured: configured, version: configured.Version, adapters: configured.Adapters, newestFence: -1, orderArrived: make(chan struct{}, 1)}
}

// acceptOrder starts an order, or replaces the current one by a newer one.
//
// The fence is the offset of the uses list that the sender acted on. The log gives all lists one
// order, so an order of an entry that is behind, or one that was stuck in a stalled link, is
// recognized as stale: here by the list that this agent has applied, and at the engine, if it
// checks, by the orders that it has had.
func (e *executor) acceptOrder(order *api.LoadOrder, applied int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := &e.model
	if order.GetFence() < max(applied, m.newestFence) || order.GetModel() != e.settings.GetModel() || m.takesNoOrders {
		return
	}
	if m.order.GetFence() == order.GetFence() && m.order != nil {
		return // The sender repeats an order until a report shows it.
	}
	m.newestFence = order.GetFence()
	if m.order == nil && targetOf(order).IsMetBy(m.version, m.adapters) {
		return
	}
	m.order = order
	m.orderChanges++
	e.loading.Store(true)
	select {
	case m.orderArrived <- struct{}{}:
	default: // runOrders has not yet received an earlier wake-up.
	}
	_ = e.logger.Log("msg", "The engine is ordered to load another version.", "version", order.GetVersion(), "fence", order.GetFence())
}

func targetOf(order *api.LoadOrder) rollout.Target {
	return rollout.Target{Version: order.GetVersion(), Adapters: order.GetAdapters(), Fence: order.GetFence()}
}

// runOrders carries out one order after another at the engine.
func (e *executor) runOrders(ctx context.Context) error {
	backoff := orderBackoff
	for ctx.Err() == nil {
		order, isDrained := e.pendingOrder()
		switch {
		case order == nil:
			select {
			case <-e.model.orderArrived:
			case <-ctx.Done():
			}
			continue
		case !isDrained:
			sleep(ctx, orderPollInterval)
			continue
		}
		err := e.applyOrder(ctx, order)
		switch {
		case err == nil, errors.Is(err, errStaleFence), errors.Is(err, errUnsupported):
			e.finishOrder(order, err)
			backoff = orderBackoff
		default:
			// The order is kept, and the engine gets no work. While its order fails, the engine
			// counts as unavailable, which stops the rollout before it takes down more engines.
			_ = e.logger.Log("msg", "The engine could not load the ordered version; the order will be retried.", "result", backendFailedLabel, "version", order.GetVersion(), "fence", order.GetFence(), "err", err)
			e.awaitOrderBackoff(ctx, order, backoff)
			backoff = min(2*backoff, maxOrderBackoff)
		}
	}
	return ctx.Err()
}

// pendingOrder returns the current order, and whether the engine has no work in flight any more.
// Work that was accepted before the order began already counts as running then, and checks
// refusing again before it is sent.
func (e *executor) pendingOrder() (*api.LoadOrder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.order, e.model.order != nil && e.runningKnown && e.limiter.Running() == 0
}

// applyOrder sends the engine the orders that it lacks. It first asks what the engine has loaded:
// an earlier order whose answer was lost may have been carried out.
func (e *executor) applyOrder(ctx context.Context, order *api.LoadOrder) error {
	loaded, err := e.queryLoaded(ctx)
	if err != nil {
		return err
	}
	request := engineOrder{Fence: order.GetFence(), Kind: orderModel, Model: order.GetModel(), Version: order.GetVersion()}
	if order.GetVersion() != "" && loaded.Version != order.GetVersion() {
		// Adapters belong to the version that they were loaded for.
		if err := e.sendOrder(ctx, request, loaded, loadedModel{Version: order.GetVersion()}); err != nil {
			return err
		}
		loaded = loadedModel{Version: order.GetVersion()}
	}
	request.Kind = orderAdapter
	for _, adapter := range order.GetAdapters() {
		if slices.Contains(loaded.Adapters, adapter) {
			continue
		}
		request.Adapter = adapter
		extended := loadedModel{Version: loaded.Version, Adapters: append(slices.Clone(loaded.Adapters), adapter)}
		if err := e.sendOrder(ctx, request, loaded, extended); err != nil {
			return err
		}
		loaded = extended
	}
	e.setLoaded(loaded)
	return nil
}

// sendOrder sends one order. What the engine has loaded is unknown until the order is confirmed: a
// failed order may have been carried out, and an engine that does not report what it has loaded
// would otherwise be taken for one that still has the old version.
func (e *executor) sendOrder(ctx context.Context, order engineOrder, before, after loadedModel) error {
	e.setLoaded(loadedModel{})
	err := e.backend.sendOrder(ctx, order)
	switch {
	case err == nil:
		e.setLoaded(after)
	case errors.Is(err, errStaleFence), errors.Is(err, errUnsupported):
		e.setLoaded(before)
	}
	return err
}

func (e *executor) setLoaded(loaded loadedModel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.version = loaded.Version
	e.model.adapters = slices.Clone(loaded.Adapters)
}

// queryLoaded asks the engine what it has loaded. An engine that does not report it has what the
// settings say or what was last loaded here.
func (e *executor) queryLoaded(ctx context.Context) (loadedModel, error) {
	loaded, err := e.backend.queryLoaded(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case errors.Is(err, errUnsupported):
		return loadedModel{Version: e.model.version, Adapters: slices.Clone(e.model.adapters)}, nil
	case err == nil && loaded.Version == "":
		// It was restarted, or never had an order.
		loaded.Version = e.model.configured.Version
		loaded.Adapters = append(slices.Clone(e.model.configured.Adapters), loaded.Adapters...)
	}
	return loaded, err
}

// finishOrder lets the agent accept work again unless a newer order has arrived.
func (e *executor) finishOrder(order *api.LoadOrder, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := &e.model
	if errors.Is(err, errUnsupported) {
		m.takesNoOrders = true
	} else {
		// The weights are new, so the engine's caches are empty whatever it reports.
		e.limiter.AssumeCold()
	}
	if errors.Is(err, errStaleFence) {
		// The same order would be refused again, and take the engine out of service each time.
		m.newestFence = max(m.newestFence, order.GetFence()+1)
	}
	m.orderChanges++
	if m.order != order && !m.takesNoOrders {
		return
	}
	m.order = nil
	e.loading.Store(false)
	outcome := result.Label(api.ResultCode_OK)
	if err != nil {
		outcome = backendFailedLabel
	}
	_ = e.logger.Log("msg", "The order to load a version has ended.", "result", outcome, "version", m.version, "fence", order.GetFence(), "err", err)
}

// awaitOrderBackoff waits for the backoff, or until another order replaces the one that failed.
func (e *executor) awaitOrderBackoff(ctx context.Context, order *api.LoadOrder, backoff time.Duration) {
	until := clock.Now() + backoff
	for clock.Now() < until && ctx.Err() == nil {
		if current, _ := e.pendingOrder(); current != order {
			return
		}
		sleep(ctx, orderPollInterval)
	}
}

// pollLoaded keeps track of what the engine has loaded. That changes without an order when the
// engine is replaced, and may differ from the settings after this agent was replaced.
func (e *executor) pollLoaded(ctx context.Context) {
	for ctx.Err() == nil {
		before := e.orderChanges()
		if loaded, err := e.queryLoaded(ctx); err == nil {
			e.updateLoaded(loaded, before)
		}
		e.pollPacer.waitNext(ctx)
	}
}

func (e *executor) orderChanges() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.orderChanges
}

func (e *executor) updateLoaded(loaded loadedModel, before uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.model.orderChanges == before && e.model.order == nil {
		e.model.version = loaded.Version
		e.model.adapters = loaded.Adapters
	}
}
