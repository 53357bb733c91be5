package router

import "github.com/cespare/xxhash/v2"

// serviceHash hashes a request ID to spread requests evenly over the services of a route.
func serviceHash(id string) uint64 { return xxhash.Sum64String(id) }
