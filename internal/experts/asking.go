package experts

import (
	"context"
	"sync"
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
		answers[i].direct = direct
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[i].reply = c.ask(ctx, e, req, direct)
		}()
	}
	wait.Wait()
	now := clock.Now()
	for i, a := range answers {
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

// beside is the process beside an engine, by when it answered last and was tried last.
type beside struct{ answered, tried time.Duration }

// ask asks the process beside an engine, or with direct the engine itself. Counts and lists
// are not read from afar: they are dear, and reading them stops the group.
func (c *Coordinator) ask(ctx context.Context, e Engine, req *api.RankRequest, direct bool) *api.RankReply {
	if direct {
		reply := ranks.Ask(ctx, platform.NewEngine(e.Address, c.client), &api.RankRequest{Order: req.GetOrder()})
		if reply.GetError() != "" {
			_ = level.Warn(c.logger).Log("msg", "An engine does not answer.", "server", e.ID, "err", reply.GetError(),
				"result", result.Label(api.ResultCode_BACKEND_FAILED))
		}
		return reply
	}
	beside, err := ranks.Beside(e.Address, c.peerPort)
	if err != nil {
		return nil
	}
	reply, err := ranks.Via(ctx, c.client, beside, req)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			_ = level.Warn(c.logger).Log("msg", "The process beside an engine does not answer.", "server", e.ID, "err", err,
				"result", result.Label(api.ResultCode_BACKEND_FAILED))
		}
		return nil
	}
	if reply.GetError() != "" {
		_ = level.Warn(c.logger).Log("msg", "An engine does not answer the process beside it.", "server", e.ID, "err", reply.GetError(),
			"result", result.Label(api.ResultCode_BACKEND_FAILED))
	}
	return reply
}
