package fleet

import "syscall"

// endWithParent has the kernel kill a child whose parent died without Close,
// for example after a test's panic.
func endWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
