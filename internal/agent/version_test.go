package agent

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/internal/wire"
)

// versionEngine serves streams of one token and reports a software version; none if it is empty.
func versionEngine(t *testing.T, version string) *engine.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if version != "" {
			w.Header().Set(engine.HeaderSoftwareVersion, version)
		}
		_, _ = io.WriteString(w, `data: {"choices":[{"delta":{"content":"x"}}]}`+"\n\ndata: [DONE]\n\n")
	}))
	t.Cleanup(server.Close)
	return engine.NewClient(server.URL)
}

// Guards against an agent that continues a stream at an engine of another software version than the one
// that began it, and against one that doesn't tell which version begins a stream.
func TestAgentChecksVersionOfResumedStream(t *testing.T) {
	for name, c := range map[string]struct {
		engine, began string
		resumeFrom    int
		wantFail      wire.FailKind
	}{
		"new stream":                       {"v2", "", 0, ""},
		"same version":                     {"v2", "v2", 3, ""},
		"other version":                    {"v2", "v1", 3, wire.FailOtherVersion},
		"engine reports none":              {"", "v1", 3, wire.FailOtherVersion},
		"entry of an earlier release":      {"v2", "", 3, wire.FailOtherVersion},
		"no engine has reported a version": {"", "", 3, ""},
	} {
		t.Run(name, func(t *testing.T) {
			server, grant := newTestAgent(t, versionEngine(t, c.engine))
			request := newRunRequest(grant)
			request.Body, request.ResumeFrom, request.SoftwareVersion = []byte(`{"model":"model","messages":[]}`), c.resumeFrom, c.began
			frames := postRun(t, server, request)
			version, tokens := "", 0
			for {
				f, err := frames.Next()
				if err != nil {
					t.Fatal(err)
				}
				version += f.SoftwareVersion
				tokens += f.Tokens
				if f.Kind == wire.FrameEnd || f.Kind == wire.FrameFail {
					if f.Fail != c.wantFail {
						t.Errorf("ended with %q, want %q", f.Fail, c.wantFail)
					}
					break
				}
			}
			if c.wantFail == "" && (version != c.engine || tokens != 1) || c.wantFail != "" && tokens != 0 {
				t.Errorf("got %d tokens of version %q", tokens, version)
			}
		})
	}
}

// Guards against entries that place the rest of a stream at agents without knowing their engines'
// versions.
func TestStatusTellsSoftwareVersion(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"running":1,"version":"v7","runs":[]}`)
	}))
	defer server.Close()
	a := testAgentWith(t, engine.NewClient(server.URL))
	cancelled := false
	if err := a.probe(t.Context(), &cancelled); err != nil {
		t.Fatal(err)
	}
	if got := a.dispatcher.status(1).SoftwareVersion; got != "v7" {
		t.Errorf("got version %q", got)
	}
}
