package link

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// WithCounters returns the configuration with counters from a registry.
func (cfg Config) WithCounters(registry metrics.Registry) Config {
	cfg.BytesIn = metrics.GetOrRegisterCounter("link.bytes.in", registry)
	cfg.BytesOut = metrics.GetOrRegisterCounter("link.bytes.out", registry)
	cfg.HeartbeatsOut = metrics.GetOrRegisterCounter("link.heartbeats.out", registry)
	return cfg
}

// countBytes returns a connection that counts its bytes, or conn itself without counters.
func (cfg Config) countBytes(conn net.Conn) net.Conn {
	if cfg.BytesIn == nil || cfg.BytesOut == nil {
		return conn
	}
	return &countingConn{Conn: conn, in: cfg.BytesIn, out: cfg.BytesOut}
}

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	in, out metrics.Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Inc(int64(n))
	return n, err
}
