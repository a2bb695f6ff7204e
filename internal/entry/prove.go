package entry

import (
	"context"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
)

// proved refuses an attempt that may not be repeated when the link has been silent. A
// link without work beats slowly, and its agent may have been gone for longer than a
// busy link would leave unnoticed: the request would end as "outcome unknown" for an
// agent that never had it. Nothing was sent, so it goes to another agent.
//
// A ticket that the caller holds is not held back: it may have been used before, and
// "not run" could not be said of it.
func (e *entry) proved(ctx context.Context, a *attempt) *result.Error {
	if !a.req.once || a.req.given != nil || a.peer.Session.Probe(ctx) {
		return nil
	}
	if ctx.Err() != nil {
		return result.New(api.ResultCode_DEADLINE_UNREACHABLE, "The deadline passed before the request was sent.")
	}
	return result.New(api.ResultCode_NO_BACKEND, "The link to the backend server is silent.")
}
