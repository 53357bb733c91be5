// Package testbed stands around the product in tests: stand-ins of the engine,
// the platform and a plain service, the fault matrix, the load tool and the
// demo. Nothing in the product imports it.
package testbed
