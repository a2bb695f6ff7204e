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

// requestFunc returns the request for an engine, or nil for none. It is called concurrently. direct
// means that the request goes to the engine itself, which holds no maps that changes could apply
// to.
type requestFunc func(e Engine, direct bool) *api.RankRequest

// callAll sends requests to all engines concurrently and waits for the responses. Engines for which
// request returns nil are skipped.
func (c *Coordinator) callAll(ctx context.Context, engines []Engine, request requestFunc) []rankResponse {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	responses := make([]rankResponse, len(engines))
	var wait sync.WaitGroup
	for i, e := range engines {
		if request(e, false) == nil {
			continue
		}
		direct := c.shouldBypassAgent(e)
		wait.Add(1)
		go func() {
			defer wait.Done()
			responses[i] = c.call(ctx, e, request, direct)
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

// rankResponse is the response of one engine or its rank agent. The reply is nil if there was none.
type rankResponse struct {
	reply *api.RankReply
	// direct reports whether the engine was called from this VM, not by its rank agent.
	direct bool
	// err is why the engine or its rank agent did not answer.
	err error
}

// logAvailability logs when an engine stops answering and when it answers again. Only the
// coordinator's goroutine may call it.
func (c *Coordinator) logAvailability(e Engine, resp rankResponse, now time.Duration) {
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

// shouldBypassAgent reports whether to call an engine without its rank agent, which has not
// answered for a while: its VM is unresponsive, or the agent restarts, while the engine continues
// to run. Without this, the whole group could not switch maps, or would stay held, until that one
// agent is back. The agent is still probed at intervals.
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

// agentState is what is known of an engine's rank agent.
type agentState struct {
	// lastAnswered is when the agent last answered, lastTried when it was last called.
	lastAnswered, lastTried time.Duration
	// silentSince is when the engine stopped answering, directly or through the agent; zero while
	// it answers.
	silentSince time.Duration
}

// call sends a request to an engine's rank agent, or to the engine itself if direct is set or the
// agent refuses the connection and so cannot have received the order.
//
// Without the second case, a rolling replacement of rank agents would keep the whole group held
// until the agent that is down is back, and then the next one.
func (c *Coordinator) call(ctx context.Context, e Engine, request requestFunc, direct bool) rankResponse {
	if !direct {
		resp := c.callThroughAgent(ctx, e, request(e, false))
		if !isConnectionRefused(resp.err) {
			return resp
		}
	}
	return c.callEngine(ctx, e, request(e, true))
}

// callEngine sends the order of a request to the engine itself and reads its state. It reads no
// counts or expert lists: reading them from another VM is expensive and stops the group.
func (c *Coordinator) callEngine(ctx context.Context, e Engine, req *api.RankRequest) rankResponse {
	reply := ranks.Execute(ctx, platform.NewEngine(e.Address, c.client), &api.RankRequest{Order: req.GetOrder()})
	return rankResponse{reply: reply, direct: true, err: replyError(reply)}
}

// callThroughAgent sends a request to the rank agent, except for orders to hold or to release a
// hold, which go to the engine itself.
func (c *Coordinator) callThroughAgent(ctx context.Context, e Engine, req *api.RankRequest) rankResponse {
	if isHoldOrRelease(req.GetOrder()) {
		return c.sendHoldOrRelease(ctx, e, req.GetOrder())
	}
	reply, err := c.callAgent(ctx, e, req)
	return rankResponse{reply: reply, err: err}
}

// isConnectionRefused reports whether nothing was sent because nothing listens at the address: the
// VM is up and its rank agent is restarting.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// callAgent sends a request to an engine's rank agent.
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

// isHoldOrRelease reports whether an order holds the group before a pass or releases such a hold.
func isHoldOrRelease(o *api.RankOrder) bool {
	return o.GetKind() == api.RankOrder_HOLD || o.GetKind() == api.RankOrder_GO
}

// sendHoldOrRelease sends such an order to the engine itself and reads its state from the rank
// agent.
//
// Any VM may become unresponsive at any moment. If the rank agent forwarded the hold and its VM
// then froze together with the engine, nobody could release the hold, and the whole group would
// wait until that VM runs again. If the coordinator's VM freezes instead, another entry takes over.
func (c *Coordinator) sendHoldOrRelease(ctx context.Context, e Engine, o *api.RankOrder) rankResponse {
	orderResult, orderErr := ranks.SendOrder(ctx, platform.NewEngine(e.Address, c.client), o)
	resp := rankResponse{}
	resp.reply, resp.err = c.callAgent(ctx, e, &api.RankRequest{})
	if isConnectionRefused(resp.err) {
		resp = c.callEngine(ctx, e, &api.RankRequest{})
	}
	if resp.err != nil {
		return rankResponse{err: resp.err, direct: resp.direct}
	}
	resp.reply.Result, resp.err = orderResult, orderErr
	return resp
}

// replyError returns the error that a reply reports, or nil.
func replyError(reply *api.RankReply) error {
	if text := reply.GetError(); text != "" {
		return errors.New(text)
	}
	return nil
}
