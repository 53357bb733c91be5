package load

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
)

const (
	// wordBytes is the length of a filler word with its space. The fake
	// engines count it as one token.
	wordLength = 4
	// maxPromptTokens is the maximum length of a prompt's own part.
	maxPrompt = 32_000
)

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model    string       `json:"model"`
	Stream   bool         `json:"stream"`
	Messages []chatTurn   `json:"messages"`
	Metadata chatMetadata `json:"metadata"`
}

type chatTurn struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatMetadata tells the fake engine the length of the response. The router does
// not read it, because real response lengths are not known in advance either.
type chatMetadata struct {
	AnswerTokens string `json:"answer_tokens"`
}

// requestBody builds the body of a request. The salt differs between runs, so
// that the engines' prefix caches have no entries from earlier runs.
func (s Scenario) body(a arrival, salt string) ([]byte, error) {
	class := s.Mix.Classes[a.class]
	if class.Service != "" {
		return fmt.Appendf(nil, "call %d of %s", a.number, salt), nil
	}
	customer := s.Mix.Customers[a.customer].Name
	shared := fmt.Sprintf("%s %s %s ", salt, class.Name, customer) + filler(uint64(a.class), class.SharedTokens)
	own := fmt.Sprintf("request %d of %s ", a.number, salt) + filler(uint64(a.number), a.prompt)
	return json.Marshal(chatRequest{
		Model:    s.Mix.ModelOf(class),
		Stream:   true,
		Messages: []chatTurn{{Role: "system", Content: shared}, {Role: "user", Content: own}},
		Metadata: chatMetadata{AnswerTokens: strconv.Itoa(a.answer)},
	})
}

// fillerText returns pseudo-random text with the given number of tokens.
func filler(seed uint64, tokens int) string {
	random := rand.New(rand.NewPCG(seed, seed))
	var text strings.Builder
	text.Grow(tokens * wordLength)
	for range tokens {
		text.WriteByte(byte('a' + random.IntN(26)))
		text.WriteByte(byte('a' + random.IntN(26)))
		text.WriteString("o ")
	}
	return text.String()
}

// drawLogNormalLength draws a log-normally distributed length with the given
// median, clamped to the range from 1 to maxLength.
func drawLength(random *rand.Rand, median int, spread float64, limit int) int {
	drawn := float64(median) * math.Exp(spread*random.NormFloat64())
	return min(max(int(math.Round(drawn)), 1), limit)
}
