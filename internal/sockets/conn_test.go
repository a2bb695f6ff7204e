package sockets_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/sockets"
	"github.com/apricothub/apricothub/test/harness"
)

const (
	// readPause is how long a peer does not read, longer than a silent peer is borne.
	readPause = 2500 * time.Millisecond
	// smallBuffer is a receive buffer in bytes, which a part of the text fills.
	smallBuffer = 2 << 10
	eventBytes  = 300
	textBytes   = 40 * eventBytes
	// eventInterval is the time between two parts of the text, so that each is a segment of its own.
	eventInterval = 10 * time.Millisecond
	testTimeout   = 10 * time.Second
)

// dial is the DialContext of a dialer.
type dial func(ctx context.Context, network, address string) (net.Conn, error)

// pair returns both ends of a connection: the one that was dialed, and the one that was accepted.
func pair(t *testing.T, config net.ListenConfig, dial dial) (dialed, accepted net.Conn) {
	t.Helper()
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dialed, err = dial(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return dialed, accepted
}

// dialAsCaller dials with a small receive buffer, as a caller may.
func dialAsCaller(ctx context.Context, network, address string) (net.Conn, error) {
	return harness.NewSmallReader(smallBuffer).DialContext(ctx, network, address)
}

func newDial() dial { return sockets.NewDialer(time.Second).DialContext }

// Guards against a connection that is reset because its peer does not read for a while.
func TestASlowReaderGetsEverything(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		listen net.ListenConfig
		dial   dial
		// fromDialed means that the end that was dialed writes, and the other one reads late.
		fromDialed bool
	}{
		{"a server reads a request late", net.ListenConfig{}, newDial(), true},
		{"a caller reads an answer late", sockets.NewListenConfig(), dialAsCaller, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			to, from := pair(t, c.listen, c.dial)
			if c.fromDialed {
				from, to = to, from
				if err := to.(*net.TCPConn).SetReadBuffer(smallBuffer); err != nil {
					t.Fatal(err)
				}
			}
			written := make(chan error, 1)
			go func() {
				var err error
				for n := 0; n < textBytes && err == nil; n += eventBytes {
					_, err = from.Write(make([]byte, eventBytes))
					time.Sleep(eventInterval)
				}
				written <- err
			}()
			time.Sleep(readPause)
			_ = to.SetReadDeadline(time.Now().Add(testTimeout))
			n, err := io.CopyN(io.Discard, to, textBytes)
			if n != textBytes || err != nil {
				t.Errorf("%d bytes of %d arrived, error %v", n, textBytes, err)
			}
			_ = from.SetDeadline(time.Now().Add(testTimeout))
			if err := <-written; err != nil {
				t.Errorf("the write failed: %v", err)
			}
		})
	}
}

// Guards against a request that waits until its deadline on a connection that has gone silent.
func TestASilentPeerIsNoticed(t *testing.T) {
	t.Parallel()
	dialed, accepted := pair(t, net.ListenConfig{}, newDial())
	if _, err := dialed.Write([]byte("first request")); err != nil {
		t.Fatal(err)
	}
	if _, err := accepted.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	dropInput(t, accepted)
	began := time.Now()
	if _, err := dialed.Write([]byte("second request")); err != nil {
		t.Fatal(err)
	}
	_ = dialed.SetReadDeadline(time.Now().Add(testTimeout))
	_, err := dialed.Read(make([]byte, 100))
	if took := time.Since(began); !errors.Is(err, sockets.ErrSilentPeer) || took > 4*time.Second {
		t.Errorf("error %v after %v, want %v within 4 s", err, took, sockets.ErrSilentPeer)
	}
}

// dropInput makes the kernel drop all segments that arrive on a connection, as if the network lost them.
func dropInput(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	dropAll := syscall.SockFilter{Code: syscall.BPF_RET | syscall.BPF_K}
	program := syscall.SockFprog{Len: 1, Filter: &dropAll}
	var errno syscall.Errno
	if err := raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall6(syscall.SYS_SETSOCKOPT, fd, syscall.SOL_SOCKET, syscall.SO_ATTACH_FILTER,
			uintptr(unsafe.Pointer(&program)), unsafe.Sizeof(program), 0)
	}); err != nil {
		t.Fatal(err)
	}
	if errno != 0 {
		t.Fatal(errno)
	}
}

// Guards against a timer or a count that outlives what a peer has acknowledged: an idle connection stays open.
func TestAnIdleConnectionStaysOpen(t *testing.T) {
	t.Parallel()
	dialed, accepted := pair(t, net.ListenConfig{}, newDial())
	for range 3 {
		if _, err := dialed.Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
		if _, err := accepted.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(readPause / 2)
	}
	if _, err := accepted.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	if n, err := dialed.Read(make([]byte, 100)); n == 0 || err != nil {
		t.Errorf("%d bytes, error %v", n, err)
	}
}
