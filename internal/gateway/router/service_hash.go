package router

import "github.com/cespare/xxhash/v2"

// hashID spreads requests evenly over a route's services.
func serviceHash(id string) uint64 { return xxhash.Sum64String(id) }
