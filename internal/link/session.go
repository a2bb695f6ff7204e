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

// Config is what every link of a process shares.
type Config struct {
	// Self is the hello of this process.
	Self *api.Hello
	// Key is the secret that all processes of the system share.
	Key []byte
	// OtherKey is taken from the other side as well, while the key is changed VM by
	// VM; empty for none.
	OtherKey []byte
	// HeartbeatInterval is the time between heartbeats; SuspectAfter the silence after which
	// a link gets no new work; DeadAfter the silence after which it is closed.
	HeartbeatInterval, SuspectAfter, DeadAfter time.Duration
	// IdleInterval is the time between heartbeats on a link without work, whose silence may be
	// longer by the difference; none less than Heartbeat.
	IdleInterval time.Duration
	// HeartbeatSender sends the heartbeats of all links that share it; nil for one of its own.
	HeartbeatSender *HeartbeatSender
	// BytesIn and BytesOut count the bytes of all links in each direction, without those of
	// TCP and IP.
	BytesIn, BytesOut metrics.Counter
	// HeartbeatsOut counts the heartbeats sent on all links; nil for not counting.
	HeartbeatsOut metrics.Counter
	// OnWrongKey is told the address of each connection whose other side did not prove the
	// key; nil for nobody. It must not wait.
	OnWrongKey func(address string)
}

// Handler takes what links bring. Its methods are called from many goroutines and
// must not wait.
type Handler interface {
	// Up tells that a link stands, before its first message.
	Up(s *Session)
	// Down tells that a link is gone.
	Down(s *Session, cause error)
	// Control takes a message of the control stream. For a heartbeat, said is a time
	// before which the other side cannot have sent it: when the newest heartbeat
	// that it echoes was sent from here; negative when it echoes none. The time of
	// arrival would not do: after a pause of this process, what lay in its sockets
	// would look new.
	Control(s *Session, m *api.Control, notBefore time.Duration)
	// Stream takes a stream that the other side opened. It runs on a goroutine of
	// its own and may wait; the stream is closed when it returns.
	Stream(s *Session, open *api.Open, stream *Stream)
	// Heartbeat returns what the next heartbeat says, as of the call. It may wait
	// for the process's control state. The counters are filled in by the link.
	Heartbeat() *api.Heartbeat
}

// maxQueuedMessages is how many control messages may wait for a slow link. Past it the
// link is closed: the other side cannot be told what it must know, and a new link
// begins with the whole state.
const maxQueuedMessages = 1024

// Session is one link to another process.
type Session struct {
	// Peer is what the other side said of itself.
	Peer *api.Hello

	mux       *yamux.Session
	control   *Stream
	cfg       Config
	handler   Handler
	outgoing  chan *api.Control
	closed    chan struct{}
	closeOnce sync.Once
	cause     error
	// overflowOnce closes the link once.
	overflowOnce sync.Once

	heartbeatState *heartbeatState
	// heartbeats holds the newest heartbeat that is to be sent, reports the newest message
	// that goes with one.
	heartbeats    chan *api.Control
	withHeartbeat atomic.Pointer[api.Control]
}

func muxConfig(cfg Config) *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = cfg.DeadAfter
	// A goroutine and a timer for each stream, which the heartbeats of the link make needless.
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
		go accept(cfg.countBytes(&coalescingConn{Conn: conn}), cfg, h)
	}
}

func accept(conn net.Conn, cfg Config, h Handler) {
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
	// A dialer that opens no control stream must not be waited for.
	timer := time.AfterFunc(cfg.DeadAfter, func() { _ = conn.Close() })
	controlConn, err := mux.Accept()
	timer.Stop()
	if err != nil {
		_ = mux.Close()
		return
	}
	start(mux, newStream(controlConn), peer, cfg, h)
}

// authenticate proves both sides to each other and exchanges hellos, on the plain
// connection. There are no streams before the proof: a stranger could open thousands
// and fill the window of each, which would lie in this process's memory.
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

// bufferedConn is a connection of which some bytes have been read already.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (r *bufferedConn) Read(p []byte) (int, error) { return r.reader.Read(p) }

// start serves a link that stands.
func start(mux *yamux.Session, control *Stream, peer *api.Hello, cfg Config, h Handler) *Session {
	s := &Session{
		Peer:       peer,
		mux:        mux,
		control:    control,
		cfg:        cfg,
		handler:    h,
		outgoing:   make(chan *api.Control, maxQueuedMessages),
		closed:     make(chan struct{}),
		heartbeatState:  newHeartbeatState(cfg, clock.Now()),
		heartbeats: make(chan *api.Control, 1),
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

// errControlQueueFull says that the other side does not take what it must know.
var errControlQueueFull = errors.New("the other side takes control messages too slowly")

// Post queues a control message. It never waits: a link that is too slow is closed on a
// goroutine of its own. Whoever posts may be the one that Down hands its news to, and
// would wait for itself: the process would answer nobody any more.
func (s *Session) Post(m *api.Control) {
	select {
	case s.outgoing <- m:
	case <-s.closed:
	default:
		s.overflowOnce.Do(func() { go s.Close(errControlQueueFull) })
	}
}

// Open opens a stream with its first message.
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

// Close ends the link and every stream on it.
func (s *Session) Close(cause error) {
	s.closeOnce.Do(func() {
		s.cause = cause
		close(s.closed)
		_ = s.mux.Close()
		s.handler.Down(s, cause)
	})
}

// Closed is closed with the link.
func (s *Session) Closed() <-chan struct{} { return s.closed }

func (s *Session) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// Suspect says that the link has been silent, in either direction, for longer
// than it should: it gets no new work.
func (s *Session) Suspect() bool {
	return s.heartbeatState.silence(clock.Now()) > s.cfg.SuspectAfter
}

func (s *Session) readControl() {
	for {
		m := &api.Control{}
		if err := s.control.Receive(m); err != nil {
			s.Close(errors.Wrap(err, "the link was closed"))
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
			s.Close(errors.Wrap(err, "the link was closed"))
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
