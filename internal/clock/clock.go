// Package clock returns the time since the process started.
package clock

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is the id of Linux's CLOCK_BOOTTIME.
const clockBoottime = 7

// bootStart is the CLOCK_BOOTTIME reading at process start.
var bootStart, _ = boottime()

// fallbackStart is the process start for systems without CLOCK_BOOTTIME.
var fallbackStart = time.Now()

// Now returns the time since the process started. It is monotonic and includes the time during
// which the process is stopped or its VM is suspended, so that a resumed process sees that its data
// is stale. Go's time package reads CLOCK_MONOTONIC, which does not advance while a VM is
// suspended.
func Now() time.Duration {
	now, ok := boottime()
	if !ok {
		return time.Since(fallbackStart)
	}
	return now - bootStart
}

func boottime() (time.Duration, bool) {
	var ts syscall.Timespec
	// The call never blocks, so the scheduler does not need to be notified.
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0)
	return time.Duration(ts.Nano()), errno == 0
}
