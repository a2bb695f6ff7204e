package harness

import (
	"syscall"
	"time"
	"unsafe"
)

// dieWithParent makes the kernel kill a child when the test process dies.
func dieWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

const (
	// stopTimeout limits the wait for a process to stop after SIGSTOP; stopPollInterval is the
	// time between two checks.
	stopTimeout      = 2 * time.Second
	stopPollInterval = 200 * time.Microsecond

	// pPID, wStopped, wNoHang and wNoWait are P_PID, WSTOPPED, WNOHANG and WNOWAIT of waitid.
	pPID     = 1
	wStopped = 2
	wNoHang  = 1
	wNoWait  = 0x01000000
	// siginfoSize is the size of siginfo_t in bytes.
	siginfoSize = 128
)

// awaitStopped waits until all threads of a child have stopped.
//
// On a busy machine, a thread on another processor runs on for a moment after SIGSTOP has been
// sent. Without the wait, a process that the test considers paused could still answer.
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
