// Package e2e holds tests of the whole path with real processes and a real
// client; it has no code of its own.
package e2e
