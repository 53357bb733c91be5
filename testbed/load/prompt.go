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
	// wordBytes is the length of a filler word with its space, in bytes. The
	// stand-in engines count it as one token.
	wordBytes = 4
	// maxPromptTokens is the maximum length of a prompt without its shared
	// prefix.
	maxPromptTokens = 32_000
)

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
	Metadata chatMetadata  `json:"metadata"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatMetadata tells the stand-in engine the length of the response. The router does
// not read it, because real response lengths are not known in advance either.
type chatMetadata struct {
	ResponseTokens string `json:"answer_tokens"`
}

// requestBody builds the body of a request. The salt differs between runs, so
// that the engines' prefix caches have no entries from earlier runs.
func (s Scenario) requestBody(a arrival, salt string) ([]byte, error) {
	class := s.Mix.Classes[a.class]
	if class.Service != "" {
		return fmt.Appendf(nil, "call %d of %s", a.index, salt), nil
	}
	customer := s.Mix.Customers[a.customer].Name
	systemPrompt := fmt.Sprintf("%s %s %s ", salt, class.Name, customer) + fillerText(uint64(a.class), class.SharedTokens)
	userPrompt := fmt.Sprintf("request %d of %s ", a.index, salt) + fillerText(uint64(a.index), a.promptTokens)
	return json.Marshal(chatRequest{
		Model:    s.Mix.ModelOf(class),
		Stream:   true,
		Messages: []chatMessage{{Role: "system", Content: systemPrompt}, {Role: "user", Content: userPrompt}},
		Metadata: chatMetadata{ResponseTokens: strconv.Itoa(a.responseTokens)},
	})
}

// fillerText returns pseudo-random text with the given number of tokens.
func fillerText(seed uint64, tokens int) string {
	random := rand.New(rand.NewPCG(seed, seed))
	var text strings.Builder
	text.Grow(tokens * wordBytes)
	for range tokens {
		text.WriteByte(byte('a' + random.IntN(26)))
		text.WriteByte(byte('a' + random.IntN(26)))
		text.WriteString("o ")
	}
	return text.String()
}

// drawLogNormalLength draws a log-normally distributed length with the given
// median, clamped to the range from 1 to maxLength.
func drawLogNormalLength(random *rand.Rand, median int, logStdDev float64, maxLength int) int {
	length := float64(median) * math.Exp(logStdDev*random.NormFloat64())
	return min(max(int(math.Round(length)), 1), maxLength)
}
