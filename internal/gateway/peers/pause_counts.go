package peers

import "github.com/applepier/applepier/policy"

// maxPauseCounts bounds the pause counts of a datagram: a service has at most one for each urgency
// level, and few services have streams.
const maxPauseCounts = 4 * policy.UrgencyLevels

// maxCountedStreams bounds each number of streams that is accepted from another gateway. A gateway
// completes fewer between two datagrams.
const maxCountedStreams = 1000

// pauseCounts is the encoded form of policy.PauseCounts.
type pauseCounts struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	Urgency uint8
	Late    uint32
	OnTime  uint32
}

// packPauseCounts encodes pause counts, at most maxPauseCounts.
func packPauseCounts(counts []policy.PauseCounts) []pauseCounts {
	counts = counts[:min(len(counts), maxPauseCounts)]
	packed := make([]pauseCounts, len(counts))
	for i, c := range counts {
		packed[i] = pauseCounts{Service: uint32(c.Service), Urgency: uint8(c.Urgency), Late: uint32(max(c.Late, 0)), OnTime: uint32(max(c.OnTime, 0))}
	}
	return packed
}

// unpackPauseCounts decodes pause counts, at most maxPauseCounts. An unknown urgency level is mapped to
// the least urgent one.
func unpackPauseCounts(packed []pauseCounts) []policy.PauseCounts {
	packed = packed[:min(len(packed), maxPauseCounts)]
	counts := make([]policy.PauseCounts, len(packed))
	for i, c := range packed {
		counts[i] = policy.PauseCounts{
			Service: policy.Key(c.Service), Urgency: min(int(c.Urgency), policy.UrgencyLevels-1),
			Late: int(min(c.Late, maxCountedStreams)), OnTime: int(min(c.OnTime, maxCountedStreams)),
		}
	}
	return counts
}
