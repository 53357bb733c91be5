package peers

import "github.com/applepier/applepier/policy"

// prefixUse is the encoded form of policy.Use: a backend server was sent a part of a prompt, or
// has processed it.
type prefixUse struct {
	_         struct{} `cbor:",toarray"`
	Server    uint32
	Part      uint64
	Processed bool
}

// packPrefixUses encodes prefix uses.
func packPrefixUses(uses []policy.Use) []prefixUse {
	packed := make([]prefixUse, len(uses))
	for i, u := range uses {
		packed[i] = prefixUse{Server: uint32(u.Server), Part: u.Part, Processed: u.Read}
	}
	return packed
}

// unpackPrefixUses decodes prefix uses.
func unpackPrefixUses(packed []prefixUse) []policy.Use {
	uses := make([]policy.Use, len(packed))
	for i, u := range packed {
		uses[i] = policy.Use{Server: policy.Key(u.Server), Part: u.Part, Read: u.Processed}
	}
	return uses
}
