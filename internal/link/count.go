package link

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// Counters returns the configuration with counters of a registry.
func (cfg Config) Counters(registry metrics.Registry) Config {
	cfg.In = metrics.GetOrRegisterCounter("link.bytes.in", registry)
	cfg.Out = metrics.GetOrRegisterCounter("link.bytes.out", registry)
	cfg.Beats = metrics.GetOrRegisterCounter("link.heartbeats.out", registry)
	return cfg
}

// count returns the connection with its bytes counted, if they are wanted.
func (cfg Config) count(conn net.Conn) net.Conn {
	if cfg.In == nil || cfg.Out == nil {
		return conn
	}
	return &counted{Conn: conn, in: cfg.In, out: cfg.Out}
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	in, out metrics.Counter
}

// Read implements net.Conn.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Inc(int64(n))
	return n, err
}
