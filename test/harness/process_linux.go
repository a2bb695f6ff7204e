package harness

import "syscall"

// dieWithParent lets the kernel kill a child when the test process dies.
func dieWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
