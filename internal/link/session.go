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
	// Heartbeat is the time between heartbeats; Suspect the silence after which
	// a link gets no new work; Dead the silence after which it is closed.
	Heartbeat, Suspect, Dead time.Duration
	// Idle is the time between heartbeats on a link without work, whose silence may be
	// longer by the difference; none less than Heartbeat.
	Idle time.Duration
	// Pacer sends the heartbeats of all links that share it; nil for one of its own.
	Pacer *Pacer
	// In and Out count the bytes of all links in each direction, without those of
	// TCP and IP.
	In, Out metrics.Counter
	// Beats counts the heartbeats sent on all links; nil for not counting.
	Beats metrics.Counter
	// Unproved is told the address of each connection whose other side did not prove the
	// key; nil for nobody. It must not wait.
	Unproved func(address string)
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
	Control(s *Session, m *api.Control, said time.Duration)
	// Stream takes a stream that the other side opened. It runs on a goroutine of
	// its own and may wait; the stream is closed when it returns.
	Stream(s *Session, open *api.Open, stream *Stream)
	// Heartbeat returns what the next heartbeat says, as of the call. It may wait
	// for the process's control state. The counters are filled in by the link.
	Heartbeat() *api.Heartbeat
}

// sendQueue is how many control messages may wait for a slow link. Past it the
// link is closed: the other side cannot be told what it must know, and a new link
// begins with the whole state.
const sendQueue = 1024

// Session is one link to another process.
type Session struct {
	// Peer is what the other side said of itself.
	Peer *api.Hello

	mux     *yamux.Session
	control *Stream
	cfg     Config
	handler Handler
	send    chan *api.Control
	closed  chan struct{}
	once    sync.Once
	cause   error
	// overflow closes the link once.
	overflow sync.Once

	rhythm *rhythm
	// beats holds the newest heartbeat that is to be sent, reports the newest message
	// that goes with one.
	beats   chan *api.Control
	reports atomic.Pointer[api.Control]
}

func muxConfig(cfg Config) *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = cfg.Dead
	// A goroutine and a timer for each stream, which the heartbeats of the link make needless.
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = 10 * time.Second
	c.AcceptBacklog = 4096
	c.LogOutput = io.Discard
	return c
}

// Dial opens a link and starts serving it.
func Dial(address string, cfg Config, h Handler) (*Session, error) {
	dialled, err := net.DialTimeout("tcp", address, cfg.Dead)
	if err != nil {
		return nil, err
	}
	conn := cfg.count(&joined{Conn: dialled})
	peer, proved, err := prove(conn, cfg, dialer)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	mux, err := yamux.Client(proved, muxConfig(cfg))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	raw, err := mux.Open()
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	return start(mux, newStream(raw), peer, cfg, h), nil
}

// Serve accepts links until the listener is closed.
func Serve(ln net.Listener, cfg Config, h Handler) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go accept(cfg.count(&joined{Conn: conn}), cfg, h)
	}
}

func accept(conn net.Conn, cfg Config, h Handler) {
	peer, proved, err := prove(conn, cfg, listener)
	if err != nil {
		if errors.Is(err, ErrProof) && cfg.Unproved != nil {
			cfg.Unproved(conn.RemoteAddr().String())
		}
		_ = conn.Close()
		return
	}
	mux, err := yamux.Server(proved, muxConfig(cfg))
	if err != nil {
		_ = conn.Close()
		return
	}
	// A dialer that opens no control stream must not be waited for.
	timer := time.AfterFunc(cfg.Dead, func() { _ = conn.Close() })
	raw, err := mux.Accept()
	timer.Stop()
	if err != nil {
		_ = mux.Close()
		return
	}
	start(mux, newStream(raw), peer, cfg, h)
}

// prove proves both sides to each other and exchanges hellos, on the plain
// connection. There are no streams before the proof: a stranger could open thousands
// and fill the window of each, which would lie in this process's memory.
func prove(conn net.Conn, cfg Config, side string) (*api.Hello, net.Conn, error) {
	stream := newStream(conn)
	_ = conn.SetDeadline(time.Now().Add(cfg.Dead))
	peer, err := handshake(stream, cfg, side)
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return peer, &readAhead{Conn: conn, reader: stream.reader}, nil
}

// readAhead is a connection of which some bytes have been read already.
type readAhead struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (r *readAhead) Read(p []byte) (int, error) { return r.reader.Read(p) }

// start serves a link that stands.
func start(mux *yamux.Session, control *Stream, peer *api.Hello, cfg Config, h Handler) *Session {
	s := &Session{
		Peer:    peer,
		mux:     mux,
		control: control,
		cfg:     cfg,
		handler: h,
		send:    make(chan *api.Control, sendQueue),
		closed:  make(chan struct{}),
		rhythm:  newRhythm(cfg, clock.Now()),
		beats:   make(chan *api.Control, 1),
	}
	if cfg.Pacer == nil {
		s.cfg.Pacer = NewPacer()
	}
	h.Up(s)
	go s.readControl()
	go s.writeControl()
	s.cfg.Pacer.add(s)
	go s.acceptStreams()
	return s
}

// errSlow says that the other side does not take what it must know.
var errSlow = errors.New("the other side takes control messages too slowly")

// Post queues a control message. It never waits: a link that is too slow is closed on a
// goroutine of its own. Whoever posts may be the one that Down hands its news to, and
// would wait for itself: the process would answer nobody any more.
func (s *Session) Post(m *api.Control) {
	select {
	case s.send <- m:
	case <-s.closed:
	default:
		s.overflow.Do(func() { go s.Close(errSlow) })
	}
}

// Open opens a stream with its first message.
func (s *Session) Open(open *api.Open) (*Stream, error) {
	raw, err := s.mux.Open()
	if err != nil {
		return nil, err
	}
	stream := newStream(raw)
	s.begin()
	stream.ended = s.end
	if err := stream.Send(open); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

// Close ends the link and every stream on it.
func (s *Session) Close(cause error) {
	s.once.Do(func() {
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
	return s.rhythm.silence(clock.Now()) > s.cfg.Suspect
}

func (s *Session) readControl() {
	for {
		m := &api.Control{}
		if err := s.control.Receive(m); err != nil {
			s.Close(errors.Wrap(err, "the link was closed"))
			return
		}
		now := clock.Now()
		s.rhythm.received(now)
		said := time.Duration(-1)
		if beat := m.GetHeartbeat(); beat != nil {
			said = s.noteHeartbeat(beat, now)
		}
		s.handler.Control(s, m, said)
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
	s.begin()
	defer s.end()
	s.handler.Stream(s, open, stream)
}
