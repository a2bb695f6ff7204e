package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// exclusiveTimeout limits the wait for the connections of earlier senders to close.
const exclusiveTimeout = 5 * time.Second

type connKey struct{}

// orderState holds the highest fence seen and the connections over which orders can arrive, with
// their senders.
type orderState struct {
	web.Monitor
	checkFence bool
	fence      uint64
	senders    map[net.Conn]string
}

func newOrderState(checkFence bool) *orderState {
	return &orderState{checkFence: checkFence, senders: map[net.Conn]string{}}
}

// connContext makes the connection of a request available to its handler.
func (o *orderState) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connState forgets a connection once it is closed: all orders sent over it have been processed by
// then.
func (o *orderState) connState(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		o.WithLock(func() { delete(o.senders, conn) })
	}
}

// waitExclusive waits until only the sender of this request is connected, and returns the number of
// its connections.
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

// recordSender records the sender of a request. The caller holds the lock.
func (o *orderState) recordSender(r *http.Request) string {
	sender := r.Header.Get("X-Giver")
	if sender != "" {
		o.senders[r.Context().Value(connKey{}).(net.Conn)] = sender
	}
	return sender
}

// acceptOrder records the fence of an order. With checkFence it returns an error if the fence is
// outdated.
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

// highestFence returns the highest fence seen, or 0 if fences are not checked.
func (o *orderState) highestFence() (fence uint64) {
	o.WithLock(func() { fence = o.fence })
	if !o.checkFence {
		return 0
	}
	return fence
}
