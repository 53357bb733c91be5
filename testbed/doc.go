// Package testbed is the root of the module with which the product is tested: it
// contains simulators of the engine, the platform and a plain service, the fault
// matrix, the load tool and the demo. The product doesn't import it.
package testbed
