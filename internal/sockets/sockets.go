// Package sockets opens TCP connections that notice a silent peer, and bear one that reads slowly.
//
// A connection can become silent for good while new ones work: then nothing that is sent on it is
// acknowledged. A peer that reads slowly acknowledges what it has room for and answers each probe of its
// closed window. TCP_USER_TIMEOUT cannot tell the two apart: Linux ends a connection by it also while the
// peer's window stays closed, and drops what the peer has not read.
package sockets

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// keepAliveIdle is the idle time before the first keep-alive probe, keepAliveInterval the time
	// between probes, and keepAliveProbes the number of unanswered probes that end a connection.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// keepAlive detects silent connections on which nothing waits to be acknowledged.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

// ReceiveBufferBytes and SendBufferBytes are the sizes of the buffers of an accepted connection. The kernel lets them grow
// to megabytes otherwise, which many clients together could fill, also before their connections are accepted.
const (
	ReceiveBufferBytes = 16 << 10
	SendBufferBytes    = 32 << 10
)

// NewListenConfig returns the configuration of a listener. What is sent to a peer that takes none of it is
// limited by the write deadline of the server, not by the socket: a caller may read as late as it likes.
func NewListenConfig() net.ListenConfig {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: limitBuffers}
	// The library listens with Multipath TCP by default, whose sockets lack options of TCP.
	config.SetMultipathTCP(false)
	return config
}

// limitBuffers sets the buffers of a listening socket, which its connections inherit. On a connection it would be too
// late: the client has been told of the room before.
func limitBuffers(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		if err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, ReceiveBufferBytes); err == nil {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, SendBufferBytes)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Dialer opens connections that are closed once the peer acknowledges nothing for ackTimeout.
type Dialer struct{ dialer net.Dialer }

// NewDialer returns a dialer that waits at most timeout for a connection to be established.
func NewDialer(timeout time.Duration) *Dialer {
	return &Dialer{dialer: net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive}}
}

// DialContext opens a connection like net.Dialer. The network has to be one of TCP.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return watch(conn.(*net.TCPConn)), nil
}
