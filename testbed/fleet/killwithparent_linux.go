package fleet

import "syscall"

// killWithParent makes the kernel kill the child if its parent dies without
// calling Close, for example when a test panics.
func killWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
