package response

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/sockets"
)

// Transport makes a transport refuse bytes that are no response, limits the headers that it reads, and returns it. The
// transport must be new, and send HEAD requests only if it keeps no connections. It does not use HTTP/2.
func Transport(t *http.Transport) *http.Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		// The transport does not tell when it has written a request.
		isWritten := func() bool { return false }
		return newCheckedConn(conn, func() error { return sockets.CheckEnd(conn, isWritten) }), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		below := &endingConn{Conn: conn}
		encrypted, err := handshake(ctx, below, t.TLSClientConfig, address)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		return newCheckedConn(encrypted, below.checkEnd), nil
	}
	return bounded.Transport(t)
}

// handshake begins TLS on a connection to an address.
func handshake(ctx context.Context, conn net.Conn, cfg *tls.Config, address string) (*tls.Conn, error) {
	if cfg == nil {
		cfg = &tls.Config{}
	}
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		cfg = cfg.Clone()
		cfg.ServerName = host
	}
	encrypted := tls.Client(conn, cfg)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		return nil, errors.Wrap(err, "TLS handshake")
	}
	return encrypted, nil
}

// checkedConn is a connection of a transport that fails at the first byte that belongs to no response.
type checkedConn struct {
	net.Conn
	in checkedReader
	// isUsed means that a request was sent, and sendsHead that the first one is a HEAD request.
	isUsed, sendsHead atomic.Bool
}

func newCheckedConn(conn net.Conn, checkEnd func() error) *checkedConn {
	return &checkedConn{Conn: conn, in: checkedReader{r: conn, checkEnd: checkEnd}}
}

// Write implements net.Conn. The transport does not tell which request it writes; its first write begins with the method.
func (c *checkedConn) Write(p []byte) (int, error) {
	if !c.isUsed.Swap(true) {
		c.sendsHead.Store(bytes.HasPrefix(p, []byte(http.MethodHead+" ")))
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	c.in.scanner.answersHead = c.sendsHead.Load()
	return c.in.Read(p)
}

// errNoCloseNotify is the error of a TLS connection that ended without the alert close_notify, as when it was cut.
var errNoCloseNotify = errors.New("the TLS connection ended without close_notify")

// endingConn is a connection below TLS that notes its end. After a close_notify nothing more is read from it, and
// crypto/tls reports an end without one in the same way.
type endingConn struct {
	net.Conn
	hasEnded atomic.Bool
}

// Read implements net.Conn.
func (c *endingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		c.hasEnded.Store(true)
	}
	return n, err
}

// checkEnd returns an error if the connection ended without a close_notify.
func (c *endingConn) checkEnd() error {
	if c.hasEnded.Load() {
		return errNoCloseNotify
	}
	return nil
}
