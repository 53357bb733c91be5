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
	// MaxAnswer is the longest answer, in tokens.
	MaxAnswer = 4096
	// medianAnswer and spreadAnswer shape the lengths of answers whose
	// request doesn't say: log-normal, so that a few are very long.
	medianAnswer = 60
	spreadAnswer = 0.8
	// vocabulary is how many different tokens there are.
	vocabulary = 4096
)

// Answer returns the tokens of the whole answer to a chat completion request.
// They follow from its messages and its length alone, so that a checker can
// tell whether a caller got exactly its own answer. A body that can't be read
// has no answer.
func Answer(body []byte) []string {
	req, err := decodeRequest(body)
	if err != nil {
		return nil
	}
	return req.answer()
}

// AnswerText returns the whole answer as text.
func AnswerText(body []byte) string {
	return strings.Join(Answer(body), "")
}

// Fingerprint identifies a request by its messages, whatever ids it was given
// on its way. A body that can't be read has none.
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

// answer draws the tokens from the messages' hash.
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

// length is how many tokens the answer has.
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

// hash identifies the messages whatever their JSON looks like.
func (r *request) hash() uint64 {
	canonical, err := json.Marshal(r.Messages)
	if err != nil {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write(canonical)
	return hash.Sum64()
}
