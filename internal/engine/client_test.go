package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/engine"
)

const chatBody = `{"model":"m","messages":[{"role":"user","content":"a < b"}],"stream":false}`

func serveHTTP(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// closedURL returns a base URL on which nothing listens.
func closedURL(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return "http://" + listener.Addr().String()
}

func TestStartRequestsStreaming(t *testing.T) {
	var body []byte
	var header http.Header
	url := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ = io.ReadAll(r.Body)
		header = r.Header
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	stream, err := engine.NewClient(url).Start(context.Background(),
		engine.Run{ID: "r1#2", Priority: 3, ResumeFrom: 7, Body: []byte(chatBody)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Next(); err != io.EOF {
		t.Fatalf("end of stream: got %v, want io.EOF", err)
	}
	if err := stream.Close(); err != nil {
		t.Fatal(err)
	}
	want := `{"messages":[{"role":"user","content":"a \u003c b"}],"model":"m","stream":true,"stream_options":{"include_usage":true}}`
	if string(body) != want {
		t.Errorf("body:\n got %s\nwant %s", body, want)
	}
	for name, value := range map[string]string{"X-Request-Id": "r1#2", "X-Priority": "3", "X-Resume-From": "7"} {
		if got := header.Get(name); got != value {
			t.Errorf("%s: got %q, want %q", name, got, value)
		}
	}
}

// A stream that breaks off or contains an error or malformed event must not be taken
// for a complete response, even if the done marker follows.
func TestIncompleteStreamReturnsErrTruncated(t *testing.T) {
	const token = `data: {"choices":[{"delta":{"content":"x"}}]}` + "\n\n"
	streams := map[string]string{
		"connection closed":     token,
		"half an event":         token + `data: {"choi`,
		"error and done marker": token + `data: {"error":{"message":"oops"}}` + "\n\ndata: [DONE]\n\n",
		"event isn't JSON":      token + "data: oops\n\ndata: [DONE]\n\n",
	}
	for name, text := range streams {
		t.Run(name, func(t *testing.T) {
			url := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) })
			stream, err := engine.NewClient(url).Start(context.Background(), engine.Run{Body: []byte(chatBody)})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = stream.Close() }()
			chunk, err := stream.Next()
			if err != nil || chunk.Tokens != 1 {
				t.Fatalf("first chunk: got %d tokens, %v", chunk.Tokens, err)
			}
			if _, err := stream.Next(); !errors.Is(err, engine.ErrTruncated) {
				t.Fatalf("second chunk: got %v, want ErrTruncated", err)
			}
		})
	}
}

// Guards against output that is taken for none: a stream of it would be resumed from its beginning.
func TestChunksWithUncountedOutputAreMarked(t *testing.T) {
	cases := map[string]struct {
		choices   string
		tokens    int
		uncounted bool
	}{
		"role":           {`{"delta":{"role":"assistant","content":""}}`, 0, false},
		"content":        {`{"index":0,"delta":{"content":"x","tool_calls":[],"refusal":null,"function_call":null}}`, 1, false},
		"end":            {`{"index":0,"delta":{},"finish_reason":"stop"}`, 0, false},
		"tool call":      {`{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"x"}}]}}`, 0, true},
		"function call":  {`{"index":0,"delta":{"function_call":{"arguments":"x"}}}`, 0, true},
		"refusal":        {`{"index":0,"delta":{"refusal":"x"}}`, 0, true},
		"other output":   {`{"index":0,"delta":{"content":"","reasoning_content":"x"}}`, 0, true},
		"no output":      {`{"index":0,"delta":{"role":"assistant","content":"","reasoning_content":"","annotations":[]}}`, 0, false},
		"further choice": {`{"index":1,"delta":{"content":"x"}}`, 0, true},
		"two choices":    {`{"index":0,"delta":{"content":"x"}},{"index":1,"delta":{"content":"y"}}`, 1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			url := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `data: {"choices":[`+c.choices+"]}\n\n")
			})
			stream, err := engine.NewClient(url).Start(context.Background(), engine.Run{Body: []byte(chatBody)})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = stream.Close() }()
			if chunk, err := stream.Next(); err != nil || chunk.Tokens != c.tokens || chunk.Uncounted != c.uncounted {
				t.Errorf("got %+v, %v", chunk, err)
			}
		})
	}
}

func TestStartErrorTellsWhetherRunStarted(t *testing.T) {
	urlWithStatus := func(status int) string {
		return serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
	}
	abortingURL := serveHTTP(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	cases := []struct {
		name        string
		url         string
		body        string
		unreachable bool
		rejected    int
	}{
		{name: "nothing listens", url: closedURL(t), body: chatBody, unreachable: true},
		{name: "malformed body", url: closedURL(t), body: `[]`, rejected: 400},
		{name: "not found", url: urlWithStatus(404), body: chatBody, rejected: 404},
		{name: "busy", url: urlWithStatus(429), body: chatBody, rejected: 429},
		{name: "unavailable", url: urlWithStatus(503), body: chatBody, rejected: 503},
		{name: "internal error", url: urlWithStatus(500), body: chatBody},
		{name: "connection aborted after the request", url: abortingURL, body: chatBody},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := engine.NewClient(c.url).Start(context.Background(), engine.Run{Body: []byte(c.body)})
			if err == nil {
				t.Fatal("no error")
			}
			if got := errors.Is(err, engine.ErrUnreachable); got != c.unreachable {
				t.Errorf("unreachable: got %v (%v), want %v", got, err, c.unreachable)
			}
			rejected, ok := errors.Into[*engine.RejectedError](err)
			if ok != (c.rejected != 0) || ok && rejected.Status != c.rejected {
				t.Errorf("rejected: got %v (%v), want status %d", ok, err, c.rejected)
			}
		})
	}
}

// Guards against a service call that runs twice: if the client reused the first
// call's connection and the service aborted it, net/http would resend the second
// call, because it is idempotent. The service here aborts each call after the first.
func TestServiceCallIsNeverResent(t *testing.T) {
	var requests atomic.Int32
	url := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	service := engine.NewServiceClient(url)
	call := engine.ServiceRequest{
		ID: "r1#1", Method: http.MethodGet, Path: "/gate",
		Header: http.Header{"Idempotency-Key": {"k"}},
	}
	response, err := service.Do(context.Background(), call)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if _, err := service.Do(context.Background(), call); err == nil || errors.Is(err, engine.ErrUnreachable) {
		t.Fatalf("second call: got %v, want an error that leaves the outcome open", err)
	}
	if got := requests.Load(); got != 2 {
		t.Fatalf("requests received: got %d, want 2", got)
	}
}

func TestServiceDropsHopByHopHeaders(t *testing.T) {
	var got *http.Request
	url := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Docket", "7")
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write(body)
	})
	response, err := engine.NewServiceClient(url).Do(context.Background(), engine.ServiceRequest{
		ID: "r2#1", Method: http.MethodPut, Path: "/gate/4?x=1", Body: []byte("weigh"),
		Header: http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Te": {"gzip"}, "X-Kept": {"2"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != "weigh" || response.Status != http.StatusTeapot || response.Header.Get("X-Docket") != "7" {
		t.Fatalf("response: %d %v %q %v", response.Status, response.Header, body, err)
	}
	if got.Method != http.MethodPut || got.RequestURI != "/gate/4?x=1" || got.Header.Get("X-Request-Id") != "r2#1" {
		t.Errorf("request: %s %s %v", got.Method, got.RequestURI, got.Header)
	}
	if got.Header.Get("X-Hop") != "" || got.Header.Get("Te") != "" || got.Header.Get("X-Kept") != "2" {
		t.Errorf("headers: %v", got.Header)
	}
}
