//go:build !linux

package fleet

import "syscall"

// endWithParent has no counterpart outside Linux: there Close alone ends the
// children.
func endWithParent() *syscall.SysProcAttr {
	return nil
}
