//go:build !linux

package fleet

import "syscall"

// killWithParent returns nil: outside Linux only Close stops the children.
func killWithParent() *syscall.SysProcAttr {
	return nil
}
