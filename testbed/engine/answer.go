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
	MaxAnswer = 4096
	// medianResponseTokens and responseLogStdDev are the parameters of the
	// log-normal length of responses whose request sets no length. The
	// distribution's tail produces a few very long responses.
	medianAnswer = 60
	spreadAnswer = 0.8
	// vocabularySize is the number of distinct tokens.
	vocabulary = 4096
)

// ResponseTokens returns the tokens of the complete response to a chat
// completion request. They depend only on the request's messages and on the
// response length it asks for, so that a test can verify that a client received
// exactly its own response. It returns nil for a body that can't be decoded.
func Answer(body []byte) []string {
	req, err := decodeRequest(body)
	if err != nil {
		return nil
	}
	return req.answer()
}

// ResponseText returns the tokens of ResponseTokens as one string.
func AnswerText(body []byte) string {
	return strings.Join(Answer(body), "")
}

// Fingerprint returns a hash of a request's messages, which identifies the
// request independently of the ids assigned on its way. It returns the empty
// string for a body that can't be decoded.
func Fingerprint(body []byte) string {
	req, err := decodeRequest(body)
	if err != nil {
		return ""
	}
	return req.fingerprint()
}

func (r *request) fingerprint() string {
	return fmt.Sprintf("%016x", r.hash())
}

// responseTokens generates the response's tokens with the hash of the messages
// as the random seed.
func (r *request) answer() []string {
	seed := r.hash()
	random := rand.New(rand.NewPCG(seed, seed))
	length := r.length(random)
	tokens := make([]string, length)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("w%03x ", random.IntN(vocabulary))
	}
	return tokens
}

// responseLength returns the response's length in tokens: the first that is set
// of metadata.answer_tokens, max_completion_tokens and max_tokens, else a random
// length. It is always between 1 and MaxResponseTokens.
func (r *request) length(random *rand.Rand) int {
	drawn := int(medianAnswer * math.Exp(spreadAnswer*random.NormFloat64()))
	switch {
	case r.Metadata.AnswerTokens > 0:
		drawn = r.Metadata.AnswerTokens
	case r.MaxCompletionTokens > 0:
		drawn = r.MaxCompletionTokens
	case r.MaxTokens > 0:
		drawn = r.MaxTokens
	}
	return min(max(drawn, 1), MaxAnswer)
}

// messageHash hashes the decoded messages, so that the formatting of their JSON
// does not matter.
func (r *request) hash() uint64 {
	canonical, err := json.Marshal(r.Messages)
	if err != nil {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write(canonical)
	return hash.Sum64()
}
