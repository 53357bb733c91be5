package peers

import (
	"time"

	"github.com/applepier/applepier/policy"
)

// ttftSample is the encoded form of policy.TTFTSample: the time to first token of a request at a
// server, and the number of prompt tokens that had to be prefilled before that token.
type ttftSample struct {
	_             struct{} `cbor:",toarray"`
	Service       uint32
	Server        uint32
	Urgency       uint8
	TokensAhead   uint32
	LatencyMillis uint32
}

// packTTFTSamples encodes samples of the time to first token.
func packTTFTSamples(samples []policy.TTFTSample) []ttftSample {
	packed := make([]ttftSample, len(samples))
	for i, sample := range samples {
		packed[i] = ttftSample{
			Service: uint32(sample.Service), Server: uint32(sample.Server), Urgency: uint8(sample.Urgency),
			TokensAhead: uint32(max(sample.TokensAhead, 0)), LatencyMillis: uint32(max(sample.Latency.Milliseconds(), 0)),
		}
	}
	return packed
}

// unpackTTFTSamples decodes samples of the time to first token. An unknown urgency level is mapped
// to the least urgent one.
func unpackTTFTSamples(packed []ttftSample) []policy.TTFTSample {
	samples := make([]policy.TTFTSample, len(packed))
	for i, sample := range packed {
		samples[i] = policy.TTFTSample{
			Service: policy.Key(sample.Service), Server: policy.Key(sample.Server), Urgency: min(int(sample.Urgency), policy.UrgencyLevels-1),
			TokensAhead: float64(sample.TokensAhead), Latency: time.Duration(sample.LatencyMillis) * time.Millisecond,
		}
	}
	return samples
}
