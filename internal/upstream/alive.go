package upstream

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// aliveTime is how long a server has to keep a new connection open to count as alive: the listener of a process
// that ends may be closed a little later than its connections.
const aliveTime = 50 * time.Millisecond

// IsAlive reports whether the process at an address accepts a connection within dialTimeout from now on and keeps it
// open. The kernel closes the connections of a process that ends in order, as at the end of a whole answer without a
// length, so that only a server that is alive after the end has sent all of it.
func IsAlive(ctx context.Context, address string, dialTimeout time.Duration) bool {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(aliveTime))
	_, err = conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
