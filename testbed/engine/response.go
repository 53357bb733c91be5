package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"
)

const (
	// MaxResponseTokens is the length of the longest response, in tokens.
	MaxResponseTokens = 4096
	// medianResponseTokens and responseLogStdDev are the parameters of the
	// log-normal length of responses whose request sets no length. The
	// distribution's tail produces a few very long responses.
	medianResponseTokens = 60
	responseLogStdDev    = 0.8
	// vocabularySize is the number of distinct tokens.
	vocabularySize = 4096
)

// ResponseTokens returns the tokens of the complete response to a chat
// completion request. They depend only on the request's messages and on the
// response length it asks for, so that a test can verify that a caller received
// exactly its own response. It returns nil for a body that can't be decoded.
func ResponseTokens(body []byte) []string {
	req, err := decodeRequest(body)
	if err != nil {
		return nil
	}
	return req.responseTokens()
}

// ResponseText returns the tokens of ResponseTokens as one string.
func ResponseText(body []byte) string {
	return strings.Join(ResponseTokens(body), "")
}

// Fingerprint returns a hash of a request's messages, which identifies the
// request independently of the IDs assigned on its way. It returns the empty
// string for a body that can't be decoded.
func Fingerprint(body []byte) string {
	req, err := decodeRequest(body)
	if err != nil {
		return ""
	}
	return req.fingerprint()
}

// fingerprint returns the hash of the messages in hexadecimal.
func (r *request) fingerprint() string {
	return fmt.Sprintf("%016x", r.messageHash())
}

// responseTokens generates the response's tokens with the hash of the messages
// as the random seed.
func (r *request) responseTokens() []string {
	seed := r.messageHash()
	random := rand.New(rand.NewPCG(seed, seed))
	count := r.responseLength(random)
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("w%03x ", random.IntN(vocabularySize))
	}
	return tokens
}

// responseLength returns the response's length in tokens: the first that is set
// of metadata.answer_tokens, max_completion_tokens and max_tokens, else a random
// length. It is always between 1 and MaxResponseTokens.
func (r *request) responseLength(random *rand.Rand) int {
	length := int(medianResponseTokens * math.Exp(responseLogStdDev*random.NormFloat64()))
	switch {
	case r.Metadata.ResponseTokens > 0:
		length = r.Metadata.ResponseTokens
	case r.MaxCompletionTokens > 0:
		length = r.MaxCompletionTokens
	case r.MaxTokens > 0:
		length = r.MaxTokens
	}
	return min(max(length, 1), MaxResponseTokens)
}

// messageHash hashes the decoded messages, so that the formatting of their JSON
// does not matter.
func (r *request) messageHash() uint64 {
	canonical, err := json.Marshal(r.Messages)
	if err != nil {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write(canonical)
	return hash.Sum64()
}
