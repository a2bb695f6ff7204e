package sockets

import (
	"encoding/binary"
	"syscall"
	"time"
	"unsafe"
)

// tcpInfoBytes is the size of the part of struct tcp_info that is read, as Linux defines it since version 4.6.
const tcpInfoBytes = 148

// Offsets of fields in struct tcp_info.
const (
	offsetState        = 0
	offsetProbes       = 3
	offsetUnacked      = 24
	offsetLastDataSent = 44
	offsetLastDataRecv = 52
	offsetLastAckRecv  = 56
	offsetBytesAcked   = 120
	offsetNotSentBytes = 144
)

// stateClosed is the state TCP_CLOSE of the kernel.
const stateClosed = 7

// tcpInfo is the beginning of struct tcp_info, in the byte order of the machine.
type tcpInfo [tcpInfoBytes]byte

// read fills the information on a socket. An older kernel leaves the fields that it lacks at zero.
func (t *tcpInfo) read(fd uintptr) error {
	size := uint32(len(t))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(t)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// readInfo reads the information on a socket.
func readInfo(raw syscall.RawConn) (tcpInfo, error) {
	var info tcpInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { infoErr = info.read(fd) }); err != nil {
		return tcpInfo{}, err
	}
	return info, infoErr
}

// isClosed reports whether neither side of the connection can send.
func (t *tcpInfo) isClosed() bool { return t[offsetState] == stateClosed }

func (t *tcpInfo) uint32(offset int) uint32 { return binary.NativeEndian.Uint32(t[offset:]) }

func (t *tcpInfo) millis(offset int) time.Duration {
	return time.Duration(t.uint32(offset)) * time.Millisecond
}

func (t *tcpInfo) sendState() sendState {
	sent, ack, data := t.millis(offsetLastDataSent), t.millis(offsetLastAckRecv), t.millis(offsetLastDataRecv)
	return sendState{
		unackedSegments:  t.uint32(offsetUnacked),
		unsentBytes:      t.uint32(offsetNotSentBytes),
		ackedBytes:       binary.NativeEndian.Uint64(t[offsetBytesAcked:]),
		unansweredProbes: t[offsetProbes],
		sinceSent:        sent,
		sinceHeard:       min(ack, data),
		hasTimes:         sent > 0 || ack > 0 || data > 0,
	}
}
