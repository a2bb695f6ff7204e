package harness

import (
	"net"
	"syscall"
)

// NewSmallReader returns a dialer whose connections have a receive buffer of some bytes, like those of a caller that
// reads slowly or not at all.
func NewSmallReader(bufferBytes int) *net.Dialer {
	return &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
}
