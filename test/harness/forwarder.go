package harness

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// anyAddress makes the kernel choose a free loopback port.
const anyAddress = "127.0.0.1:0"

// Forwarder forwards TCP connections between two processes. Its methods break them in the ways that
// networks do.
type Forwarder struct {
	Address string

	listener      net.Listener
	targetAddress string
	delay         atomic.Int64
	mu            sync.Mutex
	refuseNew     bool
	silenceNew    bool
	muteNew       bool
	closed        bool
	conns         map[*forwardedConn]bool
}

// forwardedConn is a forwarded connection with its two sides.
type forwardedConn struct {
	client, target net.Conn
	// silent drops all data in both directions; mute drops all data from the target.
	silent, mute atomic.Bool
}

// NewForwarder listens on a free address and forwards connections to target.
func NewForwarder(report Reporter, target string) *Forwarder {
	report.Helper()
	return NewForwarderAt(report, anyAddress, target)
}

// NewForwarderAt listens on an address and forwards connections to target.
func NewForwarderAt(report Reporter, address, target string) *Forwarder {
	report.Helper()
	f, err := newForwarder(address, target)
	if err != nil {
		report.Fatalf("forwarder: %v", err)
	}
	report.Cleanup(f.Close)
	return f
}

func newForwarder(address, target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	f := &Forwarder{Address: listener.Addr().String(), listener: listener, targetAddress: target, conns: map[*forwardedConn]bool{}}
	go f.accept(listener)
	return f, nil
}

// Silence drops all further data on the existing connections, in both directions and for good;
// neither side sees them close. New connections work.
func (f *Forwarder) Silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.silent.Store(true)
	}
}

// Cut closes the existing connections. New connections work.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.close()
	}
}

// Block closes the existing connections and refuses new ones until Unblock.
func (f *Forwarder) Block() {
	f.mu.Lock()
	f.refuseNew = true
	f.mu.Unlock()
	f.Cut()
}

// Isolate silences the existing connections, and new ones until Unblock.
func (f *Forwarder) Isolate() {
	f.mu.Lock()
	f.silenceNew = true
	f.mu.Unlock()
	f.Silence()
}

// Mute drops all data from the target on existing connections, and on new ones until Unblock:
// requests arrive, but no answer comes back.
func (f *Forwarder) Mute() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.muteNew = true
	for c := range f.conns {
		c.mute.Store(true)
	}
}

// Unblock ends Block, Isolate and Mute for new connections.
func (f *Forwarder) Unblock() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuseNew, f.silenceNew, f.muteNew = false, false, false
}

// Delay delays each chunk of data by d, in both directions.
func (f *Forwarder) Delay(d time.Duration) { f.delay.Store(int64(d)) }

// EndProcess lets the other side look like a process that has ended: existing connections are closed, and
// nothing listens at the address until StartProcess.
func (f *Forwarder) EndProcess() {
	f.mu.Lock()
	_ = f.listener.Close()
	f.mu.Unlock()
	f.Cut()
}

// StartProcess ends EndProcess.
func (f *Forwarder) StartProcess() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	listener, err := net.Listen("tcp", f.Address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	f.listener = listener
	go f.accept(listener)
	return nil
}

// Close stops the forwarder and closes its connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	_ = f.listener.Close()
	f.closed = true
	f.mu.Unlock()
	f.Cut()
}

func (f *Forwarder) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go f.serve(client)
	}
}

func (f *Forwarder) serve(client net.Conn) {
	target, err := net.Dial("tcp", f.targetAddress)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &forwardedConn{client: client, target: target}
	defer c.close()
	if !f.register(c) {
		return
	}
	defer f.unregister(c)
	var pipes sync.WaitGroup
	pipes.Go(func() { f.pipe(c, c.client, c.target) })
	pipes.Go(func() { f.pipe(c, c.target, c.client) })
	pipes.Wait()
}

// register adds a new connection; it returns false if new connections are refused.
func (f *Forwarder) register(c *forwardedConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuseNew || f.closed {
		return false
	}
	c.silent.Store(f.silenceNew)
	c.mute.Store(f.muteNew)
	f.conns[c] = true
	return true
}

func (f *Forwarder) unregister(c *forwardedConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// pipe copies data and the end of the stream from source to destination. A silent connection keeps
// reading and drops the data, so that the sender sees neither an error nor a full buffer.
func (f *Forwarder) pipe(c *forwardedConn, source, destination net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		if d := f.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if c.silent.Load() || source == c.target && c.mute.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := destination.Write(buffer[:n]); writeErr != nil {
				c.close()
				return
			}
		}
		if err == io.EOF {
			_ = destination.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			c.close()
			return
		}
	}
}

func (c *forwardedConn) close() {
	_ = c.client.Close()
	_ = c.target.Close()
}
