package entry

import (
	"context"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
)

// checkLink refuses an attempt at a request that runs at most once if the link has been silent. An
// idle link has a longer heartbeat interval, so its agent may be gone for longer than it would go
// unnoticed on a busy link. The request would then end as "outcome unknown" for an agent that never
// received it. Since nothing was sent, it can go to another agent.
//
// A request with the caller's ticket is not checked: the ticket may have been used before, and "not
// run" could not be said of it.
func (e *entry) checkLink(ctx context.Context, a *attempt) *result.Error {
	if !a.req.once || a.req.callerTicket != nil || a.peer.Session.Probe(ctx) {
		return nil
	}
	if ctx.Err() != nil {
		return result.New(api.ResultCode_DEADLINE_UNREACHABLE, "The deadline passed before the request was sent.")
	}
	return result.New(api.ResultCode_NO_BACKEND, "The link to the backend server is silent.")
}
