package fleet

// FreeAddr returns a host:port on 127.0.0.1 for a process that a test starts
// by itself; see freeAddr.
func FreeAddr() (string, error) { return freeAddr() }
