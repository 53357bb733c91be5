// Package testbed is the root of the module with which the system is tested: it
// contains stand-ins for the engine, the platform and a plain service, the fault
// matrix, the load tool and the demo. The system doesn't import it.
package testbed
