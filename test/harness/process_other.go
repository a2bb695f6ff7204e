//go:build !linux

package harness

import "syscall"

// dieWithParent returns nil: only Linux can kill a child when its parent dies. Elsewhere children
// are killed by the clean-up of the test.
func dieWithParent() *syscall.SysProcAttr { return nil }

// awaitStopped does nothing: the check is implemented for Linux only.
func awaitStopped(int) {}
