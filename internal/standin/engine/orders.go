package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// exclusiveTimeout bounds the wait for the connections of earlier givers to close.
const exclusiveTimeout = 5 * time.Second

type connKey struct{}

// orderState knows the highest fencing number and who is connected to give orderState.
type orderState struct {
	web.Monitor
	checkFence bool
	fence      uint64
	senders    map[net.Conn]string
}

func newOrderState(checkFence bool) *orderState {
	return &orderState{checkFence: checkFence, senders: map[net.Conn]string{}}
}

// connContext lets handlers know the connection that a request came over.
func (o *orderState) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connState forgets a giver's connection once it was seen closed: all that was
// sent over it has been obeyed by then.
func (o *orderState) connState(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		o.WithLock(func() { delete(o.senders, conn) })
	}
}

// waitExclusive waits until no giver but the one of this request is connected, and returns
// the number of its connections.
func (o *orderState) waitExclusive(r *http.Request) (ownConnections int, err error) {
	ctx, cancel := context.WithTimeout(r.Context(), exclusiveTimeout)
	defer cancel()
	err = o.WaitUntil(ctx, func() bool {
		sender := o.recordSender(r)
		ownConnections = 0
		for _, other := range o.senders {
			if other == sender {
				ownConnections++
			}
		}
		return ownConnections == len(o.senders)
	})
	if err != nil {
		err = web.Refuse(http.StatusServiceUnavailable, "another giver of orders is connected")
	}
	return ownConnections, err
}

// recordSender notes the giver of a request; the lock is held.
func (o *orderState) recordSender(r *http.Request) string {
	sender := r.Header.Get("X-Giver")
	if sender != "" {
		o.senders[r.Context().Value(connKey{}).(net.Conn)] = sender
	}
	return sender
}

// acceptOrder notes an order; it fails for an old fencing number where that is checked.
func (o *orderState) acceptOrder(r *http.Request, fence uint64) (err error) {
	o.WithLock(func() {
		o.recordSender(r)
		if o.checkFence && fence < o.fence {
			err = web.Refuse(http.StatusConflict, "an order with a newer fencing number came before")
		}
		o.fence = max(o.fence, fence)
	})
	return err
}

// highestFence returns the highestFence fencing number seen; 0 when they are not checked.
func (o *orderState) highestFence() (fence uint64) {
	o.WithLock(func() { fence = o.fence })
	if !o.checkFence {
		return 0
	}
	return fence
}
