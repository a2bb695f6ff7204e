package experts

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/platform"
)

// askAll asks all engines at once.
func (c *Coordinator) askAll(ctx context.Context, engines []Engine, request func(Engine) *api.RankRequest) []answer {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	answers := make([]answer, len(engines))
	var wait sync.WaitGroup
	for i, e := range engines {
		req := request(e)
		if req == nil {
			continue
		}
		direct := c.direct(e)
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[i] = c.ask(ctx, e, req, direct)
		}()
	}
	wait.Wait()
	now := clock.Now()
	for i, a := range answers {
		c.noteSilence(engines[i], a, now)
		if a.reply == nil {
			continue
		}
		if !a.direct {
			c.beside[engines[i].ID].answered = now
		}
		if a.reply.GetResult() == api.OrderResult_ORDER_FENCED {
			c.fenced = true
		}
	}
	return answers
}

// answer is what came back for one engine; the reply is nil when nothing did.
type answer struct {
	reply *api.RankReply
	// direct says that the engine itself was asked, from afar.
	direct bool
	// err says why the engine, or the process beside it, did not answer.
	err error
}

// noteSilence logs that an engine has gone silent, or answers again. The caller is the
// coordinator's own goroutine.
func (c *Coordinator) noteSilence(e Engine, a answer, now time.Duration) {
	h := c.beside[e.ID]
	if h == nil || a.reply == nil && a.err == nil || errors.Is(a.err, context.Canceled) {
		return
	}
	switch {
	case a.err != nil && h.silentAt == 0:
		h.silentAt = now
		_ = level.Warn(c.logger).Log("msg", "An engine does not answer.", "server", e.ID, "direct", a.direct, "err", a.err,
			"result", result.Label(api.ResultCode_BACKEND_FAILED))
	case a.err == nil && h.silentAt != 0:
		_ = level.Info(c.logger).Log("msg", "An engine answers again.", "server", e.ID, "direct", a.direct,
			"away_ms", (now - h.silentAt).Milliseconds())
		h.silentAt = 0
	}
}

// direct says that an engine is to be asked without the process beside it.
//
// Load: a VM that stands still, or a process that starts again, while its engine runs on.
// Harm prevented: the whole group cannot be switched, or worse, stands held until that one
// process is back. Now and then the process is tried all the same.
func (c *Coordinator) direct(e Engine) bool {
	h := c.beside[e.ID]
	if h == nil {
		h = &beside{answered: clock.Now()}
		c.beside[e.ID] = h
	}
	now := clock.Now()
	if now-h.answered <= silentFor || now-h.tried > probeEach {
		h.tried = now
		return false
	}
	return true
}

// beside is the process beside an engine.
type beside struct {
	// answered is when it last answered, tried when it was last asked.
	answered, tried time.Duration
	// silentAt is since when the engine does not answer, itself or through this process; zero
	// while it does.
	silentAt time.Duration
}

// ask asks the process beside an engine, or the engine itself: with direct, or when that process
// refuses the connection and so has taken no order.
//
// Load: the processes beside engines are replaced one after the other. Harm prevented: whichever
// refuses at the moment keeps the whole group held until it is back, and the next one after it.
func (c *Coordinator) ask(ctx context.Context, e Engine, req *api.RankRequest, direct bool) answer {
	if !direct {
		a := c.askNear(ctx, e, req)
		if !isRefused(a.err) {
			return a
		}
	}
	return c.askAfar(ctx, e, req)
}

// askAfar asks an engine itself. Counts and lists are not read from afar: they are dear, and
// reading them stops the group.
func (c *Coordinator) askAfar(ctx context.Context, e Engine, req *api.RankRequest) answer {
	reply := ranks.Ask(ctx, platform.NewEngine(e.Address, c.client), &api.RankRequest{Order: req.GetOrder()})
	return answer{reply: reply, direct: true, err: failureOf(reply)}
}

// askNear asks the process beside an engine.
func (c *Coordinator) askNear(ctx context.Context, e Engine, req *api.RankRequest) answer {
	if stopsPasses(req.GetOrder()) {
		return c.stopOrGo(ctx, e, req.GetOrder())
	}
	reply, err := c.askBeside(ctx, e, req)
	return answer{reply: reply, err: err}
}

// isRefused says that nothing was sent, since nobody listens: the VM lives, and the process on it
// is starting again.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// askBeside asks the process beside an engine.
func (c *Coordinator) askBeside(ctx context.Context, e Engine, req *api.RankRequest) (*api.RankReply, error) {
	address, err := ranks.Beside(e.Address, c.peerPort)
	if err != nil {
		return nil, err
	}
	reply, err := ranks.Via(ctx, c.client, address, req)
	if err != nil {
		return nil, err
	}
	return reply, failureOf(reply)
}

// stopsPasses says whether an order keeps the group from beginning a pass, or ends that.
func stopsPasses(o *api.RankOrder) bool {
	return o.GetKind() == api.RankOrder_HOLD || o.GetKind() == api.RankOrder_GO
}

// stopOrGo gives such an order to the engine itself, and reads its state from the process
// beside it.
//
// Load: a VM that stands still at any moment. Harm prevented: the one that has just passed an
// order to hold on stands still with its engine, out of everyone's reach, and the whole group
// with it until it wakes. A coordinator that stands still instead is followed by another.
func (c *Coordinator) stopOrGo(ctx context.Context, e Engine, o *api.RankOrder) answer {
	made, failure := ranks.Order(ctx, platform.NewEngine(e.Address, c.client), o)
	a := answer{}
	a.reply, a.err = c.askBeside(ctx, e, &api.RankRequest{})
	if isRefused(a.err) {
		a = c.askAfar(ctx, e, &api.RankRequest{})
	}
	if a.err != nil {
		return answer{err: a.err, direct: a.direct}
	}
	a.reply.Result, a.err = made, failure
	return a
}

// failureOf returns the failure that a reply tells of, if any.
func failureOf(reply *api.RankReply) error {
	if text := reply.GetError(); text != "" {
		return errors.New(text)
	}
	return nil
}
