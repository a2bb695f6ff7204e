package harness

import (
	"syscall"
	"time"
	"unsafe"
)

// dieWithParent lets the kernel kill a child when the test process dies.
func dieWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

const (
	// stopTimeout bounds the wait until a process stands still, stopLook is the time between two
	// looks.
	stopTimeout      = 2 * time.Second
	stopPollInterval = 200 * time.Microsecond

	// pPID, wStopped, wNoHang and wNoWait are P_PID, WSTOPPED, WNOHANG and WNOWAIT of waitid.
	pPID     = 1
	wStopped = 2
	wNoHang  = 1
	wNoWait  = 0x01000000
	// siginfoSize is the size of siginfo_t, bytes.
	siginfoSize = 128
)

// awaitStopped waits until all threads of a child stand still.
//
// Load: a busy machine. Harm prevented: a thread that is on another processor goes on for a
// moment after the signal was sent, and a process that the test takes for paused answers.
func awaitStopped(pid int) {
	for end := time.Now().Add(stopTimeout); time.Now().Before(end); time.Sleep(stopPollInterval) {
		var info [siginfoSize / 4]int32
		_, _, errno := syscall.Syscall6(syscall.SYS_WAITID, pPID, uintptr(pid), uintptr(unsafe.Pointer(&info[0])),
			wStopped|wNoHang|wNoWait, 0, 0)
		if errno != 0 && errno != syscall.EINTR || info[0] != 0 {
			return
		}
	}
}
