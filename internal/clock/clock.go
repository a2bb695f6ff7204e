// Package clock gives the time since the process started.
package clock

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is CLOCK_BOOTTIME of Linux.
const clockBoottime = 7

// bootStart is when the process started, on the same clock.
var bootStart, _ = boottime()

// fallbackStart serves where CLOCK_BOOTTIME is missing.
var fallbackStart = time.Now()

// Now returns the time since the process started. It never goes back, and it
// counts on while the process is stopped or its VM suspended: a process that was
// frozen must find its evidence old when it wakes, and CLOCK_MONOTONIC, which
// Go's time package reads, stands still while a VM is suspended.
func Now() time.Duration {
	now, ok := boottime()
	if !ok {
		return time.Since(fallbackStart)
	}
	return now - bootStart
}

func boottime() (time.Duration, bool) {
	var ts syscall.Timespec
	// The call never waits, so that the scheduler need not hear of it.
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0)
	return time.Duration(ts.Nano()), errno == 0
}
