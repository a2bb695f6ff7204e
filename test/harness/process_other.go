//go:build !linux

package harness

import "syscall"

// dieWithParent has nothing to offer here: children end by the test's clean-up.
func dieWithParent() *syscall.SysProcAttr { return nil }

// awaitStopped has nothing to ask here.
func awaitStopped(int) {}
