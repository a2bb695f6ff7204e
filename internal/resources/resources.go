// Package resources tells how much memory and how many descriptors a process may use, and divides them among its
// parts.
package resources

import (
	"math"
	"os"
	"runtime/debug"
	"syscall"
)

const (
	// heapRatio is the part of a process's memory, without programBytes, that the Go runtime may use before it collects
	// garbage more often. The rest is for what it does not count, such as bytes in sockets, and for garbage that comes
	// faster than it is collected.
	heapRatio = 0.7
	// programBytes is the memory of the program itself.
	programBytes = 16 << 20
	// envHeapLimit is the Go runtime's own setting, which takes precedence.
	envHeapLimit = "GOMEMLIMIT"
	// reservedDescriptors are left for files and for what the process does not count.
	reservedDescriptors = 200
	// defaultMemoryBytes and defaultDescriptors apply where the system tells nothing.
	defaultMemoryBytes = 512 << 20
	defaultDescriptors = 1024
)

// Resources are what a process may use.
type Resources struct {
	// MemoryBytes is its memory in bytes.
	MemoryBytes int64
	// Sockets is the number of its sockets.
	Sockets int
}

// Of returns the resources of this process on a VM that grants it so much memory, in bytes, and so many descriptors;
// zero for what is not known. The limits of the system apply as well.
func Of(memoryBytes int64, descriptors int) Resources {
	if memoryBytes <= 0 {
		memoryBytes = ownMemory()
	}
	if own := ownDescriptors(); descriptors <= 0 || own < descriptors {
		descriptors = own
	}
	return Resources{MemoryBytes: memoryBytes, Sockets: max(descriptors-reservedDescriptors, descriptors/4)}
}

// Memory returns a part of the memory, in bytes.
func (r Resources) Memory(ratio float64) int64 { return int64(ratio * float64(r.MemoryBytes)) }

// Descriptors returns a part of the sockets, at least one.
func (r Resources) Descriptors(ratio float64) int { return max(1, int(ratio*float64(r.Sockets))) }

// LimitHeap makes the runtime collect garbage more often near the memory limit. Otherwise a burst of garbage that could
// be collected ends the process.
func (r Resources) LimitHeap() {
	if os.Getenv(envHeapLimit) == "" {
		debug.SetMemoryLimit(int64(heapRatio * float64(max(r.MemoryBytes-programBytes, programBytes))))
	}
}

// ownMemory returns the memory of this process: what the runtime's own setting leaves it, or all of the VM's.
func ownMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 && os.Getenv(envHeapLimit) != "" {
		return int64(float64(limit)/heapRatio) + programBytes
	}
	if total := totalMemory(); total > 0 {
		return total
	}
	return defaultMemoryBytes
}

func ownDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
