package resources

import "syscall"

// totalMemory returns the memory of the VM in bytes, or zero if the system does not tell.
func totalMemory() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit))
}
