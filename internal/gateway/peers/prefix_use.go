package peers

import "github.com/applepier/applepier/policy"

// prefixUse is the encoded form of policy.PrefixUse: a backend server was sent a segment of a
// prompt, or has prefilled it.
type prefixUse struct {
	_         struct{} `cbor:",toarray"`
	Server    uint32
	Segment   uint64
	Prefilled bool
}

// packPrefixUses encodes prefix uses.
func packPrefixUses(uses []policy.PrefixUse) []prefixUse {
	packed := make([]prefixUse, len(uses))
	for i, u := range uses {
		packed[i] = prefixUse{Server: uint32(u.Server), Segment: u.Segment, Prefilled: u.Prefilled}
	}
	return packed
}

// unpackPrefixUses decodes prefix uses.
func unpackPrefixUses(packed []prefixUse) []policy.PrefixUse {
	uses := make([]policy.PrefixUse, len(packed))
	for i, u := range packed {
		uses[i] = policy.PrefixUse{Server: policy.Key(u.Server), Segment: u.Segment, Prefilled: u.Prefilled}
	}
	return uses
}
