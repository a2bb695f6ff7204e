// Package earlyanswer is a stand-in for backend servers that answer a request before they have read it, and that end
// the connection in any way.
package earlyanswer

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// End is how a server ends a connection after its answer.
type End int

const (
	// Reset resets the connection.
	Reset End = iota
	// Close closes it, whatever has not been read of the request.
	Close
	// Exit closes the listener and the connection, as the kernel does for a process that ends.
	Exit
	// HalfClose ends the server's side, reads the rest of the request and then closes the connection.
	HalfClose
	// HalfCloseUnread ends the server's side and keeps the connection open for holdTime without reading.
	HalfCloseUnread
	// Keep keeps the connection open, reads the rest of the request and waits for the end of the other side.
	Keep
)

// holdTime is how long a connection stays open of which nothing more is read.
const holdTime = 2 * time.Second

// Answer is what a server does with a request.
type Answer struct {
	// Text is written in place of a response.
	Text string
	// AtOnce means that the text is written when the connection is accepted, before the head of the request is read.
	// Otherwise ReadBytes of its body are read too.
	AtOnce    bool
	ReadBytes int64
	// Pause is the time between the text and the end.
	Pause time.Duration
	End   End
	// Body is the body of the answer; empty for one that is cut.
	Body string
}

// ReadAll is a number of bytes above the size of any request.
const ReadAll = 1 << 30

// Server answers requests early.
type Server struct {
	listener net.Listener
	// answer returns what is done with a request; nil is passed for one whose head has not been read.
	answer func(*http.Request) Answer

	mu   sync.Mutex
	runs map[string]int
}

// Serve starts a server that runs until the test ends. answer returns what it does with a request, or with a
// connection if its argument is nil.
func Serve(t testing.TB, answer func(*http.Request) Answer) *Server {
	t.Helper()
	return serve(t, answer, func(conn net.Conn) net.Conn { return conn })
}

// ServeTLS is Serve over TLS. Its connections are closed and reset without close_notify, except by HalfClose.
func ServeTLS(t testing.TB, config *tls.Config, answer func(*http.Request) Answer) *Server {
	t.Helper()
	return serve(t, answer, func(conn net.Conn) net.Conn { return tls.Server(conn, config) })
}

func serve(t testing.TB, answer func(*http.Request) Answer, wrap func(net.Conn) net.Conn) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{listener: listener, answer: answer, runs: make(map[string]int)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.handle(conn.(*net.TCPConn), wrap(conn))
		}
	}()
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Runs returns how many requests with a path have arrived.
func (s *Server) Runs(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[path]
}

// handle serves one request of a connection: tcp below, conn for reading and writing.
func (s *Server) handle(tcp *net.TCPConn, conn net.Conn) {
	defer func() { _ = tcp.Close() }()
	a := s.answer(nil)
	br := bufio.NewReader(conn)
	if !a.AtOnce {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.runs[req.URL.Path]++
		s.mu.Unlock()
		a = s.answer(req)
		if _, err := io.CopyN(io.Discard, req.Body, a.ReadBytes); err != nil && err != io.EOF {
			return
		}
	}
	_, _ = io.WriteString(conn, a.Text)
	time.Sleep(a.Pause)
	if a.End == Exit {
		_ = s.listener.Close()
	}
	a.End.apply(tcp, conn, br)
}

// apply ends a connection.
func (e End) apply(tcp *net.TCPConn, conn net.Conn, br *bufio.Reader) {
	switch e {
	case Reset:
		_ = tcp.SetLinger(0)
	case HalfClose, HalfCloseUnread:
		if encrypted, ok := conn.(*tls.Conn); ok {
			_ = encrypted.CloseWrite()
		}
		_ = tcp.CloseWrite()
	}
	switch e {
	case HalfClose, Keep:
		_, _ = io.Copy(io.Discard, br)
	case HalfCloseUnread:
		time.Sleep(holdTime)
	}
}
