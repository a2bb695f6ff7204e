package fakeplatform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/apricothub/apricothub/platform"
	"github.com/apricothub/apricothub/test/harness"
)

// ReceivedRequest is a request as a backend server received it.
type ReceivedRequest struct {
	Request *http.Request
	Body    string
	// FirstOnConn is true for the first request on a connection.
	FirstOnConn bool
}

// Server is a fake backend server. Its handler writes raw bytes to the connection, so that a test
// can send broken responses.
type Server struct {
	registration Registration
	listener     net.Listener
	// address is the registered address, which may differ from the listener's.
	address  string
	handler  Handler
	mu       sync.Mutex
	requests []ReceivedRequest
	conns    []net.Conn
}

// Handler answers one request and returns whether the connection stays open.
type Handler func(s ReceivedRequest, conn net.Conn) bool

// Registration is what a backend server registers about itself.
type Registration struct {
	ID, FailureDomain string
	// Concurrency is the number of requests that the server handles at once.
	Concurrency int
	// MapAddress returns the address to register in place of the listener's, such as that of a
	// forwarder. Nil registers the listener's address.
	MapAddress func(address string) string
	// Restarts is how often the server has started anew under its ID.
	Restarts int
	// DiscardRequests keeps no record of the requests, to save memory in long runs.
	DiscardRequests bool
}

// Serve starts a backend server of service app in failure domain a and registers it.
func (s *Store) Serve(report harness.Reporter, id string, handler Handler) *Server {
	return s.ServeAt(report, Registration{ID: id, FailureDomain: "a", Concurrency: 4}, handler)
}

// ServeAt starts a backend server of service app and registers it.
func (s *Store) ServeAt(report harness.Reporter, registration Registration, handler Handler) *Server {
	report.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		report.Fatalf("listen: %v", err)
	}
	f := &Server{registration: registration, listener: listener, address: listener.Addr().String(), handler: handler}
	if registration.MapAddress != nil {
		f.address = registration.MapAddress(f.address)
	}
	report.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.handle(conn)
		}
	}()
	s.Register(f, "ready")
	return f
}

// Register registers a backend server again, in a state such as ready or draining.
func (s *Store) Register(f *Server, state string) {
	s.registerAs("app", f.registration.ID, f.address, f.registration, state)
}

// RegisterRestarted registers a backend server that has started anew under its ID.
func (s *Store) RegisterRestarted(f *Server) {
	f.registration.Restarts++
	s.Register(f, "ready")
}

func (s *Store) registerAs(service, id, address string, registration Registration, state string) {
	s.Put(platform.TopicServers, id, fmt.Sprintf(
		`{"service":"%s","address":"%s","zone":"%s","concurrency":%d,"state":"%s","cold-remaining-ms":0,"sequence":1,"born":%d}`,
		service, address, registration.FailureDomain, registration.Concurrency, state, 1+registration.Restarts))
}

func (f *Server) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	f.mu.Lock()
	f.conns = append(f.conns, conn)
	f.mu.Unlock()
	br := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s := ReceivedRequest{Request: req, Body: string(body), FirstOnConn: first}
		f.record(s)
		if !f.handler(s, conn) {
			return
		}
	}
}

func (f *Server) record(s ReceivedRequest) {
	if f.registration.DiscardRequests {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, s)
}

// Kill stops the server like a crash: it closes the listener and all connections, and the
// registration stays.
func (f *Server) Kill() {
	_ = f.listener.Close()
	f.BreakConnections()
}

// BreakConnections closes all connections, as a rank does when another one of its group ends.
func (f *Server) BreakConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
}

// ID returns the name under which the server is registered.
func (f *Server) ID() string { return f.registration.ID }

// Address returns the address that the server listens on.
func (f *Server) Address() string { return f.listener.Addr().String() }

// Requests returns the requests received so far.
func (f *Server) Requests() []ReceivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]ReceivedRequest(nil), f.requests...)
}

// Refuse is a Handler that answers 503 with Not-Executed: the request has not run and will not.
func Refuse(s ReceivedRequest, conn net.Conn) bool {
	return RefuseWith(http.StatusServiceUnavailable, "")(s, conn)
}

// RefuseWith returns a Handler that refuses requests with a status and asks for rest, in seconds; empty
// for none.
func RefuseWith(status int, rest string) Handler {
	refuse := func(s ReceivedRequest, conn net.Conn) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %d Refused\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nKeep-Alive: timeout=30\r\nContent-Length: 0\r\n\r\n", status, s.ID())
		return err == nil
	}
	return AddHeader(refuse, "Retry-After", func(ReceivedRequest) string { return rest })
}

// ID returns the id of the caller's attempt.
func (s ReceivedRequest) ID() string { return s.Request.Header.Get("Attempt-Id") }

// ResumeAfter returns the id of the last event of a stream that the caller has received.
func (s ReceivedRequest) ResumeAfter() string { return s.Request.Header.Get("Last-Event-Id") }

// WholeResponse returns a complete HTTP response with a body and the server's signature.
func WholeResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nUpstream-Signature: sig\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=30\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Echo is a Handler that answers with the id of the request.
func Echo(s ReceivedRequest, conn net.Conn) bool {
	_, _ = io.WriteString(conn, WholeResponse(s.ID(), "answer to "+s.ID()))
	return true
}

// AddHeader returns a Handler whose answers are those of another one with a header added. value returns
// the header's value for each request; with an empty one the header is left out.
func AddHeader(handler Handler, name string, value func(ReceivedRequest) string) Handler {
	return func(s ReceivedRequest, conn net.Conn) bool {
		if v := value(s); v != "" {
			conn = &headerConn{Conn: conn, header: name + ": " + v + "\r\n"}
		}
		return handler(s, conn)
	}
}

// headerConn adds a header line after the status line, which the first Write must contain.
type headerConn struct {
	net.Conn
	header string
}

// Write implements net.Conn.
func (c *headerConn) Write(p []byte) (int, error) {
	header := c.header
	c.header = ""
	if header == "" {
		return c.Conn.Write(p)
	}
	statusLine, rest, _ := strings.Cut(string(p), "\r\n")
	if _, err := io.WriteString(c.Conn, statusLine+"\r\n"+header+rest); err != nil {
		return 0, err
	}
	return len(p), nil
}

// StreamHead returns the status line and headers of a chunked event stream.
func StreamHead(s ReceivedRequest) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + s.Request.Header.Get("Attempt-Id") +
		"\r\nUpstream-Signature: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// Chunk returns text as one HTTP chunk.
func Chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Event returns one server-sent event.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id) }
