package link

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
)

// Config holds the settings that all links of a process share.
type Config struct {
	// Self is the hello of this process.
	Self *api.Hello
	// Key is the secret that all processes of the system share.
	Key []byte
	// OtherKey is also accepted from peers, while the key is changed VM by VM; empty for none.
	OtherKey []byte
	// HeartbeatInterval is the time between heartbeats. A link that is silent for SuspectAfter gets
	// no new work, and one that is silent for DeadAfter is closed.
	HeartbeatInterval, SuspectAfter, DeadAfter time.Duration
	// IdleInterval is the time between heartbeats on a link without work, which may be silent for
	// longer by the difference. It is never less than HeartbeatInterval.
	IdleInterval time.Duration
	// HeartbeatSender sends the heartbeats of all links that share it; nil for a separate one for
	// each link.
	HeartbeatSender *HeartbeatSender
	// BytesIn and BytesOut count the bytes of all links in each direction, without the TCP and IP
	// overhead.
	BytesIn, BytesOut metrics.Counter
	// HeartbeatsOut counts the heartbeats sent on all links; nil for no count.
	HeartbeatsOut metrics.Counter
	// OnWrongKey is called with the address of each connection whose peer did not prove the key;
	// may be nil. It must not block.
	OnWrongKey func(address string)
}

// Handler handles the events of links. Its methods are called from many goroutines and must not
// block unless stated otherwise.
type Handler interface {
	// Up is called when a link is established, before its first message.
	Up(s *Session)
	// Down is called when a link is closed.
	Down(s *Session, cause error)
	// Control handles a message of the control stream. For a heartbeat, notBefore is a time before
	// which the peer cannot have sent it: the time at which the newest heartbeat that it echoes was
	// sent from here; negative if it echoes none. The time of arrival is not usable: after a pause
	// of this process, data that waited in its sockets would appear new.
	Control(s *Session, m *api.Control, notBefore time.Duration)
	// Stream handles a stream opened by the peer. It runs on its own goroutine and may block; the
	// stream is closed when it returns.
	Stream(s *Session, open *api.Open, stream *Stream)
	// Heartbeat returns the content of the next heartbeat, as of the call. It may wait for the
	// control state of the process. The link fills in its own fields, such as
	// the sequence number.
	Heartbeat() *api.Heartbeat
}

// maxQueuedMessages limits the control messages queued for a slow link. Beyond it the link is
// closed, because the peer misses messages that it must have. A new link starts with the complete
// state.
const maxQueuedMessages = 1024

// Session is a link to another process.
type Session struct {
	// Peer is the peer's hello.
	Peer *api.Hello

	mux       *yamux.Session
	control   *Stream
	cfg       Config
	handler   Handler
	outgoing  chan *api.Control
	closed    chan struct{}
	closeOnce sync.Once
	cause     error
	// overflowOnce ensures that an overflow closes the link only once.
	overflowOnce sync.Once

	heartbeatState *heartbeatState
	// heartbeats holds the newest heartbeat to send, withHeartbeat the newest message to send
	// together with one.
	heartbeats    chan *api.Control
	withHeartbeat atomic.Pointer[api.Control]
}

func muxConfig(cfg Config) *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = cfg.DeadAfter
	// Disabled: it costs a goroutine and a timer for each stream, and the link's heartbeats make it
	// unnecessary.
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = 10 * time.Second
	c.AcceptBacklog = 4096
	c.LogOutput = io.Discard
	return c
}

// Dial opens a link and starts serving it.
func Dial(address string, cfg Config, h Handler) (*Session, error) {
	tcpConn, err := net.DialTimeout("tcp", address, cfg.DeadAfter)
	if err != nil {
		return nil, err
	}
	conn := cfg.countBytes(&coalescingConn{Conn: tcpConn})
	peer, authenticated, err := authenticate(conn, cfg, dialer)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	mux, err := yamux.Client(authenticated, muxConfig(cfg))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	controlConn, err := mux.Open()
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	return start(mux, newStream(controlConn), peer, cfg, h), nil
}

// Serve accepts links until the listener is closed.
func Serve(ln net.Listener, cfg Config, h Handler) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go accept(conn, cfg, h)
	}
}

// guarded is a connection whose listener closes it to make room, unless it is established.
type guarded interface{ Established() }

func accept(accepted net.Conn, cfg Config, h Handler) {
	conn := cfg.countBytes(&coalescingConn{Conn: accepted})
	peer, authenticated, err := authenticate(conn, cfg, listener)
	if err != nil {
		if errors.Is(err, ErrWrongKey) && cfg.OnWrongKey != nil {
			cfg.OnWrongKey(conn.RemoteAddr().String())
		}
		_ = conn.Close()
		return
	}
	mux, err := yamux.Server(authenticated, muxConfig(cfg))
	if err != nil {
		_ = conn.Close()
		return
	}
	if g, ok := accepted.(guarded); ok {
		g.Established()
	}
	// Limits the wait for a dialer that never opens the control stream.
	timer := time.AfterFunc(cfg.DeadAfter, func() { _ = conn.Close() })
	controlConn, err := mux.Accept()
	timer.Stop()
	if err != nil {
		_ = mux.Close()
		return
	}
	start(mux, newStream(controlConn), peer, cfg, h)
}

// authenticate proves both sides to each other and exchanges hellos, on the plain connection. There
// are no streams before the proof: an unauthenticated client could open thousands and fill the
// window of each, which would stay in the memory of this process.
func authenticate(conn net.Conn, cfg Config, side string) (*api.Hello, net.Conn, error) {
	stream := newStream(conn)
	_ = conn.SetDeadline(time.Now().Add(cfg.DeadAfter))
	peer, err := handshake(stream, cfg, side)
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return peer, &bufferedConn{Conn: conn, reader: stream.reader}, nil
}

// bufferedConn is a connection that reads through a buffer which may already hold data.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// start serves an established link.
func start(mux *yamux.Session, control *Stream, peer *api.Hello, cfg Config, h Handler) *Session {
	s := &Session{
		Peer:           peer,
		mux:            mux,
		control:        control,
		cfg:            cfg,
		handler:        h,
		outgoing:       make(chan *api.Control, maxQueuedMessages),
		closed:         make(chan struct{}),
		heartbeatState: newHeartbeatState(cfg, clock.Now()),
		heartbeats:     make(chan *api.Control, 1),
	}
	if cfg.HeartbeatSender == nil {
		s.cfg.HeartbeatSender = NewHeartbeatSender()
	}
	h.Up(s)
	go s.readControl()
	go s.writeControl()
	s.cfg.HeartbeatSender.add(s)
	go s.acceptStreams()
	return s
}

// errControlQueueFull means that the peer receives control messages too slowly.
var errControlQueueFull = errors.New("the peer reads control messages too slowly")

// Post queues a control message. It never blocks: a link that is too slow is closed on a separate
// goroutine. The caller may be the goroutine that Down waits for; closing the link here could then
// deadlock the process.
func (s *Session) Post(m *api.Control) {
	select {
	case s.outgoing <- m:
	case <-s.closed:
	default:
		s.overflowOnce.Do(func() { go s.Close(errControlQueueFull) })
	}
}

// Open opens a stream and sends its first message.
func (s *Session) Open(open *api.Open) (*Stream, error) {
	raw, err := s.mux.Open()
	if err != nil {
		return nil, err
	}
	stream := newStream(raw)
	s.beginWork()
	stream.onClose = s.endWork
	if err := stream.Send(open); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

// Close closes the link and all its streams.
func (s *Session) Close(cause error) {
	s.closeOnce.Do(func() {
		s.cause = cause
		close(s.closed)
		_ = s.mux.Close()
		s.handler.Down(s, cause)
	})
}

// Closed returns a channel that is closed together with the link.
func (s *Session) Closed() <-chan struct{} { return s.closed }

func (s *Session) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// Suspect reports whether the link has been silent, in either direction, for longer than
// SuspectAfter. A suspect link gets no new work.
func (s *Session) Suspect() bool {
	return s.heartbeatState.silence(clock.Now()) > s.cfg.SuspectAfter
}

func (s *Session) readControl() {
	for {
		m := &api.Control{}
		if err := s.control.Receive(m); err != nil {
			s.Close(errors.Wrap(err, "receive a control message"))
			return
		}
		now := clock.Now()
		s.heartbeatState.messageReceived(now)
		notBefore := time.Duration(-1)
		if heartbeat := m.GetHeartbeat(); heartbeat != nil {
			notBefore = s.receiveHeartbeat(heartbeat, now)
		}
		s.handler.Control(s, m, notBefore)
	}
}

func (s *Session) acceptStreams() {
	for {
		raw, err := s.mux.Accept()
		if err != nil {
			s.Close(errors.Wrap(err, "accept a stream"))
			return
		}
		go s.serveStream(newStream(raw))
	}
}

func (s *Session) serveStream(stream *Stream) {
	defer func() { _ = stream.Close() }()
	open := &api.Open{}
	if err := stream.Receive(open); err != nil {
		return
	}
	s.beginWork()
	defer s.endWork()
	s.handler.Stream(s, open, stream)
}
