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

// callAll asks all engines at once.
func (c *Coordinator) callAll(ctx context.Context, engines []Engine, request func(Engine) *api.RankRequest) []response {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	responses := make([]response, len(engines))
	var wait sync.WaitGroup
	for i, e := range engines {
		req := request(e)
		if req == nil {
			continue
		}
		direct := c.shouldBypassAgent(e)
		wait.Add(1)
		go func() {
			defer wait.Done()
			responses[i] = c.call(ctx, e, req, direct)
		}()
	}
	wait.Wait()
	now := clock.Now()
	for i, resp := range responses {
		c.logAvailability(engines[i], resp, now)
		if resp.reply == nil {
			continue
		}
		if !resp.direct {
			c.agents[engines[i].ID].lastAnswered = now
		}
		if resp.reply.GetResult() == api.OrderResult_ORDER_FENCED {
			c.fenced = true
		}
	}
	return responses
}

// response is what came back for one engine; the reply is nil when nothing did.
type response struct {
	reply *api.RankReply
	// direct says that the engine itself was asked, from afar.
	direct bool
	// err says why the engine, or the process beside it, did not answer.
	err error
}

// logAvailability logs that an engine has gone silent, or answers again. The caller is the
// coordinator's own goroutine.
func (c *Coordinator) logAvailability(e Engine, resp response, now time.Duration) {
	agent := c.agents[e.ID]
	if agent == nil || resp.reply == nil && resp.err == nil || errors.Is(resp.err, context.Canceled) {
		return
	}
	switch {
	case resp.err != nil && agent.silentSince == 0:
		agent.silentSince = now
		_ = level.Warn(c.logger).Log("msg", "An engine does not answer.", "server", e.ID, "direct", resp.direct, "err", resp.err,
			"result", result.Label(api.ResultCode_BACKEND_FAILED))
	case resp.err == nil && agent.silentSince != 0:
		_ = level.Info(c.logger).Log("msg", "An engine answers again.", "server", e.ID, "direct", resp.direct,
			"away_ms", (now - agent.silentSince).Milliseconds())
		agent.silentSince = 0
	}
}

// shouldBypassAgent says that an engine is to be asked without the process beside it.
//
// Load: a VM that stands still, or a process that starts again, while its engine runs on.
// Harm prevented: the whole group cannot be switched, or worse, stands held until that one
// process is back. Now and then the process is tried all the same.
func (c *Coordinator) shouldBypassAgent(e Engine) bool {
	agent := c.agents[e.ID]
	if agent == nil {
		agent = &agentState{lastAnswered: clock.Now()}
		c.agents[e.ID] = agent
	}
	now := clock.Now()
	if now-agent.lastAnswered <= agentSilentAfter || now-agent.lastTried > agentProbeInterval {
		agent.lastTried = now
		return false
	}
	return true
}

// agentState is the process agentState an engine.
type agentState struct {
	// lastAnswered is when it last lastAnswered, lastTried when it was last asked.
	lastAnswered, lastTried time.Duration
	// silentSince is since when the engine does not answer, itself or through this process; zero
	// while it does.
	silentSince time.Duration
}

// call asks the process beside an engine, or the engine itself: with direct, or when that process
// refuses the connection and so has taken no order.
//
// Load: the processes beside engines are replaced one after the other. Harm prevented: whichever
// refuses at the moment keeps the whole group held until it is back, and the next one after it.
func (c *Coordinator) call(ctx context.Context, e Engine, req *api.RankRequest, direct bool) response {
	if !direct {
		resp := c.callThroughAgent(ctx, e, req)
		if !isConnectionRefused(resp.err) {
			return resp
		}
	}
	return c.callEngine(ctx, e, req)
}

// callEngine asks an engine itself. Counts and lists are not read from afar: they are dear, and
// reading them stops the group.
func (c *Coordinator) callEngine(ctx context.Context, e Engine, req *api.RankRequest) response {
	reply := ranks.Execute(ctx, platform.NewEngine(e.Address, c.client), &api.RankRequest{Order: req.GetOrder()})
	return response{reply: reply, direct: true, err: replyError(reply)}
}

// callThroughAgent asks the process beside an engine.
func (c *Coordinator) callThroughAgent(ctx context.Context, e Engine, req *api.RankRequest) response {
	if isHoldOrRelease(req.GetOrder()) {
		return c.sendHoldOrRelease(ctx, e, req.GetOrder())
	}
	reply, err := c.callAgent(ctx, e, req)
	return response{reply: reply, err: err}
}

// isConnectionRefused says that nothing was sent, since nobody listens: the VM lives, and the process on it
// is starting again.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// callAgent asks the process beside an engine.
func (c *Coordinator) callAgent(ctx context.Context, e Engine, req *api.RankRequest) (*api.RankReply, error) {
	address, err := ranks.AgentAddress(e.Address, c.peerPort)
	if err != nil {
		return nil, err
	}
	reply, err := ranks.CallAgent(ctx, c.client, address, req)
	if err != nil {
		return nil, err
	}
	return reply, replyError(reply)
}

// isHoldOrRelease says whether an order keeps the group from beginning a pass, or ends that.
func isHoldOrRelease(o *api.RankOrder) bool {
	return o.GetKind() == api.RankOrder_HOLD || o.GetKind() == api.RankOrder_GO
}

// sendHoldOrRelease gives such an order to the engine itself, and reads its state from the process
// beside it.
//
// Load: a VM that stands still at any moment. Harm prevented: the one that has just passed an
// order to hold on stands still with its engine, out of everyone's reach, and the whole group
// with it until it wakes. A coordinator that stands still instead is followed by another.
func (c *Coordinator) sendHoldOrRelease(ctx context.Context, e Engine, o *api.RankOrder) response {
	orderResult, orderErr := ranks.SendOrder(ctx, platform.NewEngine(e.Address, c.client), o)
	resp := response{}
	resp.reply, resp.err = c.callAgent(ctx, e, &api.RankRequest{})
	if isConnectionRefused(resp.err) {
		resp = c.callEngine(ctx, e, &api.RankRequest{})
	}
	if resp.err != nil {
		return response{err: resp.err, direct: resp.direct}
	}
	resp.reply.Result, resp.err = orderResult, orderErr
	return resp
}

// replyError returns the failure that a reply tells of, if any.
func replyError(reply *api.RankReply) error {
	if text := reply.GetError(); text != "" {
		return errors.New(text)
	}
	return nil
}
