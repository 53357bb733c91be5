package cli

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/applepier/applepier/internal/program"
)

// TestConnectionRefused checks the error when no connection can be established.
func TestConnectionRefused(t *testing.T) {
	t.Setenv(envKey, testKey)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + listener.Addr().String()
	_ = listener.Close()
	goldie.New(t).Assert(t, "unreachable", []byte(run(t, url, "status")))
}

// TestChangeResponseLost checks the error when the entry closes the connection
// after reading a change, which may therefore have been applied.
func TestChangeResponseLost(t *testing.T) {
	t.Setenv(envKey, testKey)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = w.Write([]byte(`{"version": 3, "class": {"name": "flag", "tier": 0, "model": "m", "first_token": "1s"}}`))
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	goldie.New(t).Assert(t, "change_response_lost", []byte(run(t, server.URL, "class", "set", "flag", "--tier", "1")))
}

// A response that is not valid JSON, such as the page of a proxy, must yield an error that
// names the address. An unknown outcome must exit with ExitOutcomeUnknown.
func TestUnexpectedResponses(t *testing.T) {
	t.Setenv(envKey, testKey)
	tests := []struct {
		golden string
		status int
		body   string
	}{
		{"response_not_json", http.StatusOK, "<html>"},
		{"error_not_json", http.StatusBadGateway, "<html>"},
		{"outcome_unknown", http.StatusGatewayTimeout, `{"error": {"code": "outcome_unknown", "message": "the change may or may not have taken effect"}}`},
	}
	for _, test := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
			_, _ = w.Write([]byte(test.body))
		}))
		got := run(t, server.URL, "class", "list")
		server.Close()
		got = strings.ReplaceAll(got, strings.TrimPrefix(server.URL, "http://"), "ADMIN")
		goldie.New(t).Assert(t, test.golden, []byte(got))
	}
}

// Guards against reporting that a change had no effect although an entry may have received it: only the
// entry itself knows.
func TestChangeWithoutTheEntrysResponse(t *testing.T) {
	t.Setenv(envKey, testKey)
	tests := map[string]struct {
		status int
		body   string
		want   program.ExitCode
	}{
		"a proxy's 502":       {http.StatusBadGateway, "<html>", program.ExitOutcomeUnknown},
		"a proxy's 503":       {http.StatusServiceUnavailable, "", program.ExitOutcomeUnknown},
		"a success, not JSON": {http.StatusOK, "<html>", program.ExitOutcomeUnknown},
		"the entry's 503":     {http.StatusServiceUnavailable, `{"error": {"code": "unavailable", "message": "the table service is down"}}`, program.ExitUnreachable},
	}
	for name, test := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				_, _ = w.Write([]byte(`{"version": 3, "class": {"name": "flag", "tier": 0, "model": "m", "first_token": "1s"}}`))
				return
			}
			w.WriteHeader(test.status)
			_, _ = w.Write([]byte(test.body))
		}))
		got := run(t, server.URL, "class", "set", "flag", "--tier", "1")
		server.Close()
		if want := fmt.Sprintf("--- exit code %d\n", test.want); !strings.HasSuffix(got, want) {
			t.Errorf("%s: want %s in\n%s", name, want, got)
		}
	}
}

// TestExitCodesAreStable checks the numbers of the exit codes, which scripts
// depend on.
func TestExitCodesAreStable(t *testing.T) {
	codes := []program.ExitCode{
		program.ExitOK, program.ExitFailure, program.ExitUsage, program.ExitConflict, program.ExitUnreachable,
		program.ExitUnauthorized, program.ExitNotFound, program.ExitPartial, program.ExitOutcomeUnknown,
	}
	for want, code := range codes {
		if int(code) != want {
			t.Errorf("exit code: got %d, want %d", code, want)
		}
	}
}
