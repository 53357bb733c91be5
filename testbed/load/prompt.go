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
	// wordLength is the length of a filler word with its space: one token.
	wordLength = 4
	// maxPrompt bounds a prompt, in tokens.
	maxPrompt = 32_000
)

// chatRequest is a chat completion request as the tool sends it.
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

// chatMetadata tells the stand-in how long the answer is. The router doesn't
// read it, just as nobody knows the length of an answer beforehand.
type chatMetadata struct {
	AnswerTokens string `json:"answer_tokens"`
}

// body builds an arrival's request. The salt makes the requests of each run
// new to the engines' prefix caches.
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

// filler is text of a number of tokens.
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

// drawLength draws a log-normal length around a median, up to a limit.
func drawLength(random *rand.Rand, median int, spread float64, limit int) int {
	drawn := float64(median) * math.Exp(spread*random.NormFloat64())
	return min(max(int(math.Round(drawn)), 1), limit)
}
