package e2e

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/testbed/engine"
	"github.com/applepier/applepier/testbed/fleet"
)

const (
	model    = "apple-avustaja"
	question = "Which manholes near the harbour had gas readings this week?"
)

var shared struct {
	fleet *fleet.Fleet
}

// TestMain starts the fleet that most tests of this package share: three entries,
// two engines and a plain service.
func TestMain(m *testing.M) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	backends := fleet.Engines(2, model, 8, 2*time.Millisecond)
	backends = append(backends, fleet.BackendSpec{Kind: settings.BackendService, Serves: "weighbridge"})
	f, err := fleet.Start(ctx, fleet.Options{Entries: 3, Backends: backends, Classes: testClasses()})
	cancel()
	if err != nil {
		panic(err)
	}
	shared.fleet = f
	code := m.Run()
	f.Close()
	if code != 0 {
		panic("tests failed")
	}
}

func testClasses() []targets.Class {
	return []targets.Class{
		{Name: "condition-summary", Tier: 4, Model: model, Completion: time.Minute, Repeatable: true},
		{Name: "gate-check", Tier: 1, Service: "weighbridge", FirstToken: time.Second},
		{Name: "hazard-flag", Tier: 0, Model: model, FirstToken: 500 * time.Millisecond, Repeatable: true},
	}
}

func newClient(entry *fleet.Entry, class string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(entry.URL+"/v1"),
		option.WithAPIKey(fleet.CustomerKey(fleet.DefaultCustomer)),
		option.WithHeader("X-Applepier-Class", class),
		option.WithMaxRetries(0),
	)
}

func params(maxTokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
		MaxTokens: openai.Int(maxTokens),
	}
}

// wantText returns the text that a stand-in engine generates for a request.
func wantText(t *testing.T, p openai.ChatCompletionNewParams) string {
	t.Helper()
	body, err := p.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	return strings.Join(engine.ResponseTokens(body), "")
}

func TestEveryEntryReturnsCompleteResponse(t *testing.T) {
	for _, entry := range shared.fleet.Entries {
		p := params(40)
		completion, err := clientPointer(newClient(entry, "condition-summary")).Chat.Completions.New(t.Context(), p)
		if err != nil {
			t.Fatalf("%s: %v", entry.Name, err)
		}
		if got, want := completion.Choices[0].Message.Content, wantText(t, p); got != want {
			t.Errorf("%s: got %q, want %q", entry.Name, got, want)
		}
		if completion.Usage.CompletionTokens != 40 || completion.Choices[0].FinishReason == "" {
			t.Errorf("%s: usage %+v, finish reason %q", entry.Name, completion.Usage, completion.Choices[0].FinishReason)
		}
	}
}

func clientPointer(c openai.Client) *openai.Client { return &c }

func TestClientStreamsResponse(t *testing.T) {
	p := params(40)
	p.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	client := newClient(shared.fleet.Entries[0], "hazard-flag")
	stream := client.Chat.Completions.NewStreaming(t.Context(), p)
	defer stream.Close()
	var collected openai.ChatCompletionAccumulator
	for stream.Next() {
		if !collected.AddChunk(stream.Current()) {
			t.Fatalf("chunk doesn't continue the previous ones: %s", stream.Current().RawJSON())
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if got, want := collected.Choices[0].Message.Content, wantText(t, p); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if collected.Usage.CompletionTokens != 40 {
		t.Errorf("usage: %+v", collected.Usage)
	}
}

func TestModelsAreListed(t *testing.T) {
	client := newClient(shared.fleet.Entries[1], "")
	page, err := client.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Data) != 1 || page.Data[0].ID != model {
		t.Fatalf("models: %+v", page.Data)
	}
}

func TestErrorsMatchOpenAIFormat(t *testing.T) {
	cases := []struct {
		name, class string
		change      func(*openai.ChatCompletionNewParams)
		status      int
		code        string
	}{
		{"unknown class", "no-such-class", func(*openai.ChatCompletionNewParams) {}, http.StatusNotFound, "unknown_class"},
		{"unknown model", "hazard-flag", func(p *openai.ChatCompletionNewParams) { p.Model = "no-such-model" }, http.StatusNotFound, "model_not_found"},
		{"no messages", "hazard-flag", func(p *openai.ChatCompletionNewParams) { p.Messages = nil }, http.StatusBadRequest, "missing_field"},
		{"oversized body", "hazard-flag", func(p *openai.ChatCompletionNewParams) {
			p.Messages = []openai.ChatCompletionMessageParamUnion{openai.UserMessage(strings.Repeat("x", 5<<20))}
		}, http.StatusRequestEntityTooLarge, "body_too_large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := params(4)
			c.change(&p)
			client := newClient(shared.fleet.Entries[2], c.class)
			_, err := client.Chat.Completions.New(t.Context(), p)
			apiErr, ok := err.(*openai.Error)
			if !ok {
				t.Fatalf("got %v, want an API error", err)
			}
			if apiErr.StatusCode != c.status || apiErr.Code != c.code {
				t.Fatalf("got %d %q, want %d %q", apiErr.StatusCode, apiErr.Code, c.status, c.code)
			}
		})
	}
}

func TestPlainServiceIsRouted(t *testing.T) {
	for _, entry := range shared.fleet.Entries {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.URL+"/services/weighbridge/gates/3?truck=7", strings.NewReader(`{"weight":1}`))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Applepier-Class", "gate-check")
		req.Header.Set("Authorization", "Bearer "+fleet.CustomerKey(fleet.DefaultCustomer))
		response, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%s: got %d %s, %v", entry.Name, response.StatusCode, body, err)
		}
	}
}
