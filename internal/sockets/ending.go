package sockets

import (
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/clock"
)

// ErrReset is the error of a connection whose end was read although it was reset.
var ErrReset = errors.New("the connection was reset")

const (
	// endTimeout is how long a peer that has ended its side may leave open whether it has closed the connection. One
	// that has closed it resets it when more arrives, after a network delay.
	endTimeout = 50 * time.Millisecond
	// endInterval is the time between two looks at the connection meanwhile.
	endInterval = time.Millisecond
)

// CheckEnd reports how a connection has ended whose end was read: it returns nil if the peer has ended its side in
// order, and ErrReset if the connection was reset. isWritten reports whether all that is to be sent has been written.
//
// The end alone proves nothing while something is sent: the kernel reports a reset once, and if a write is told of it,
// a read meets an end. A peer that closes a connection without reading what arrives resets it as well. So CheckEnd
// waits, for at most endTimeout, until it is known whether the peer goes on reading.
func CheckEnd(conn net.Conn, isWritten func() bool) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return errors.Errorf("the end of a %T cannot be checked", conn)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	ending := ending{since: clock.Now()}
	for {
		// What was written before the state was read is part of it.
		written := isWritten()
		info, err := readInfo(raw)
		if err != nil {
			return errors.Wrap(err, "read the state of the connection")
		}
		switch ending.observe(clock.Now(), endState{info.sendState(), info.isClosed(), written}) {
		case endInOrder:
			return nil
		case endByReset:
			return ErrReset
		}
		time.Sleep(endInterval)
	}
}

// endState is what is known of a connection whose end was read.
type endState struct {
	sendState
	// isClosed means that neither side can send: the connection was reset, or given up by the kernel.
	isClosed bool
	// isWritten means that nothing more will be sent.
	isWritten bool
}

// endKind is how a connection has ended.
type endKind uint8

const (
	// endUnknown means that the peer may have closed the connection, or only its side of it.
	endUnknown endKind = iota
	endInOrder
	endByReset
)

// ending finds out how a connection has ended, from states of it at intervals. Times are since any fixed point.
type ending struct {
	// since is when the end was read, acked how much the peer had acknowledged when it was first observed.
	since      time.Duration
	acked      uint64
	isObserved bool
}

// observe returns how the connection has ended, given its state now.
func (e *ending) observe(now time.Duration, s endState) endKind {
	if !e.isObserved {
		e.isObserved, e.acked = true, s.ackedBytes
	}
	switch {
	case s.isClosed:
		return endByReset
	case s.isWritten && s.isDelivered():
		return endInOrder
	case s.ackedBytes != e.acked:
		// A peer that has closed the connection acknowledges nothing that arrives afterwards.
		return endInOrder
	case now-e.since >= endTimeout:
		// A peer that reads nothing more, and whose window is full, has ended only its side.
		return endInOrder
	}
	return endUnknown
}
