package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// giversWait bounds the wait for the connections of earlier givers to close.
const giversWait = 5 * time.Second

type connKey struct{}

// orders knows the highest fencing number and who is connected to give orders.
type orders struct {
	web.Watched
	check  bool
	fence  uint64
	givers map[net.Conn]string
}

func newOrders(check bool) *orders { return &orders{check: check, givers: map[net.Conn]string{}} }

// connContext lets handlers know the connection that a request came over.
func (o *orders) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connState forgets a giver's connection once it was seen closed: all that was
// sent over it has been obeyed by then.
func (o *orders) connState(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		o.Do(func() { delete(o.givers, conn) })
	}
}

// alone waits until no giver but the one of this request is connected, and returns
// the number of its connections.
func (o *orders) alone(r *http.Request) (own int, err error) {
	ctx, cancel := context.WithTimeout(r.Context(), giversWait)
	defer cancel()
	err = o.Until(ctx, func() bool {
		giver := o.enter(r)
		own = 0
		for _, g := range o.givers {
			if g == giver {
				own++
			}
		}
		return own == len(o.givers)
	})
	if err != nil {
		err = web.Refuse(http.StatusServiceUnavailable, "another giver of orders is connected")
	}
	return own, err
}

// enter notes the giver of a request; the lock is held.
func (o *orders) enter(r *http.Request) string {
	giver := r.Header.Get("X-Giver")
	if giver != "" {
		o.givers[r.Context().Value(connKey{}).(net.Conn)] = giver
	}
	return giver
}

// obey notes an order; it fails for an old fencing number where that is checked.
func (o *orders) obey(r *http.Request, fence uint64) (err error) {
	o.Do(func() {
		o.enter(r)
		if o.check && fence < o.fence {
			err = web.Refuse(http.StatusConflict, "an order with a newer fencing number came before")
		}
		o.fence = max(o.fence, fence)
	})
	return err
}

// highest returns the highest fencing number seen; 0 when they are not checked.
func (o *orders) highest() (fence uint64) {
	o.Do(func() { fence = o.fence })
	if !o.check {
		return 0
	}
	return fence
}
