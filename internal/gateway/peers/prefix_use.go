package peers

import "github.com/applepier/applepier/policy"

// use is that a backend server was sent a part of a prompt, or has read it.
type use struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	Part   uint64
	Read   bool
}

// usesOf packs uses.
func usesOf(all []policy.Use) []use {
	packed := make([]use, len(all))
	for i, u := range all {
		packed[i] = use{Server: uint32(u.Server), Part: u.Part, Read: u.Read}
	}
	return packed
}

// unpackUses unpacks what a datagram tells.
func unpackUses(packed []use) []policy.Use {
	all := make([]policy.Use, len(packed))
	for i, u := range packed {
		all[i] = policy.Use{Server: policy.Key(u.Server), Part: u.Part, Read: u.Read}
	}
	return all
}
