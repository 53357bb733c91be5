package admin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/applepier/applepier/internal/auth"
	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/storagetest"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/targets/store"
)

const (
	operatorKey = "operators-secret"
	classBody   = `{"tier": 0, "model": "apple-avustaja", "first_token": "850ms"}`
)

// fakeFleet returns the processes of its function and one fixed backend server.
type fakeFleet struct {
	processes func() []Process
}

func (f fakeFleet) Processes() []Process { return f.processes() }
func (f fakeFleet) BackendServers() []BackendServer {
	return []BackendServer{{VM: "e1", Serves: "apple-avustaja", Limit: 4, HasStatus: true, StatusAge: time.Second}}
}

// testAPI is an API with an in-memory table.
type testAPI struct {
	table   *storagetest.Table
	targets *targets.Cache
	router  *httprouter.Router
	// reportedVersion is the targets version that process "a" reports.
	reportedVersion atomic.Uint64
}

func newTestAPI() *testAPI {
	api := &testAPI{table: storagetest.NewTable(), targets: targets.NewCache(), router: httprouter.New()}
	fleet := fakeFleet{processes: func() []Process {
		return []Process{{Name: "a", HasStatus: true, TargetsVersion: api.reportedVersion.Load()}, {Name: "silent", HasStatus: true, StatusAge: time.Minute}, {Name: "never"}}
	}}
	New(Config{Store: store.New(api.table), Targets: api.targets, Fleet: fleet, OperatorKey: operatorKey}).Register(api.router)
	return api
}

// send sends a request. If version is empty, it omits If-Match.
func (api *testAPI) send(method, path, version, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, Prefix+path, strings.NewReader(body))
	auth.SetBearer(r.Header, operatorKey)
	if version != "" {
		r.Header.Set("If-Match", `"`+version+`"`)
	}
	w := httptest.NewRecorder()
	api.router.ServeHTTP(w, r)
	return w
}

// decodeResponse checks a response's status and returns its decoded body.
func decodeResponse[T any](t *testing.T, w *httptest.ResponseRecorder, status int) T {
	t.Helper()
	var response T
	if w.Code != status {
		t.Fatalf("status: got %d, want %d: %s", w.Code, status, w.Body)
	}
	if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil {
		t.Fatal(err)
	}
	return response
}

// UnmarshalJSON lets the tests decode the API's responses.
func (d *jsonDuration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = jsonDuration(parsed)
	return err
}

func TestClassLifecycle(t *testing.T) {
	api := newTestAPI()
	created := decodeResponse[changeResponse](t, api.send(http.MethodPut, "/classes/hazard-flag", "0", classBody), http.StatusOK)
	if !created.Accepted || created.Version != 1 || created.Class.FirstToken != jsonDuration(850*time.Millisecond) {
		t.Fatalf("created: %+v", created)
	}
	if api.targets.Current().Version != 1 {
		t.Fatal("the accepted change is not applied in this process")
	}
	patched := decodeResponse[changeResponse](t, api.send(http.MethodPatch, "/classes/hazard-flag", "1", `{"completion": "3s", "repeatable": true}`), http.StatusOK)
	if c := patched.Class; c.Completion != jsonDuration(3*time.Second) || c.FirstToken != jsonDuration(850*time.Millisecond) || !c.Repeatable {
		t.Fatalf("patched: %+v", c)
	}
	decodeResponse[changeResponse](t, api.send(http.MethodPatch, "/classes/hazard-flag", "2", `{"first_token": null}`), http.StatusOK)
	retired := decodeResponse[changeResponse](t, api.send(http.MethodDelete, "/classes/hazard-flag", "3", ""), http.StatusOK)
	if !retired.Class.Retired || retired.Class.FirstToken != 0 {
		t.Fatalf("retired: %+v", retired.Class)
	}
	w := api.send(http.MethodGet, "/classes/hazard-flag", "", "")
	got := decodeResponse[resourceResponse](t, w, http.StatusOK)
	if got.Version != 4 || got.Source != sourceTable || w.Header().Get("ETag") != `"4"` {
		t.Fatalf("read: %+v, ETag %s", got, w.Header().Get("ETag"))
	}
	decodeResponse[errorResponse](t, api.send(http.MethodDelete, "/classes/other", "4", ""), http.StatusNotFound)
}

// An invalid request must list the problems of all its fields, not only the
// first, and change nothing.
func TestAllProblemsAreReported(t *testing.T) {
	tests := []struct {
		name, method, path, version, body string
		status                            int
		fields                            []string
	}{
		{"many", http.MethodPut, "/classes/x?wait=soon", "seven", `{"name":"y","tier":"high","first_token":"850","weight":3}`, 400,
			[]string{"If-Match", "wait", "name", "tier", "first_token", "weight", "model"}},
		{"values", http.MethodPut, "/classes/x", "0", `{"tier":9,"model":"m","service":"s"}`, 400, []string{"tier", "service", "first_token"}},
		{"no tier", http.MethodPut, "/classes/x", "0", `{"model":"m","first_token":"1s"}`, 400, []string{"tier"}},
		{"no object", http.MethodPut, "/classes/x", "0", `[`, 400, []string{"body"}},
		{"patch", http.MethodPatch, "/classes/hazard-flag", "1", `{"tier":-1,"first_token":null}`, 400, []string{"tier", "first_token"}},
		{"customer", http.MethodPut, "/customers/b%20d", "1", `{"key_hash":"xyz"}`, 400, []string{"name", "key_hash"}},
		{"no version", http.MethodPut, "/classes/x", "", classBody, 428, nil},
	}
	api := newTestAPI()
	decodeResponse[changeResponse](t, api.send(http.MethodPut, "/classes/hazard-flag", "0", classBody), http.StatusOK)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			response := decodeResponse[errorResponse](t, api.send(tt.method, tt.path, tt.version, tt.body), tt.status)
			var got []string
			for _, p := range response.Problems {
				got = append(got, p.Field)
			}
			if !slices.Equal(got, tt.fields) {
				t.Fatalf("fields: got %v, want %v", got, tt.fields)
			}
			if version := api.targets.Current().Version; version != 1 {
				t.Fatalf("version after a rejected request: %d", version)
			}
		})
	}
	decodeResponse[errorResponse](t, api.send(http.MethodPut, "/classes/x", "1", strings.Repeat(" ", maxBodyBytes+1)), http.StatusRequestEntityTooLarge)
}

func TestVersionConflictReturnsCurrentState(t *testing.T) {
	api := newTestAPI()
	decodeResponse[changeResponse](t, api.send(http.MethodPut, "/classes/hazard-flag", "0", classBody), http.StatusOK)
	w := api.send(http.MethodPut, "/classes/hazard-flag", "0", strings.Replace(classBody, "850ms", "2s", 1))
	conflict := decodeResponse[errorResponse](t, w, http.StatusConflict)
	if conflict.Version != 1 || conflict.Class == nil || conflict.Class.FirstToken != jsonDuration(850*time.Millisecond) || w.Header().Get("ETag") != `"1"` {
		t.Fatalf("conflict: %+v", conflict)
	}
}

// A change whose commit response is lost must be read back and reported as
// accepted. While the table service is down, changes fail and reads return the
// targets in memory. If the service goes down after a commit whose outcome is
// unknown, the response must say so.
func TestChangeWithTableFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api := newTestAPI()
		api.table.InjectFaults(storagetest.FaultResponseLost)
		accepted := decodeResponse[changeResponse](t, api.send(http.MethodPut, "/classes/hazard-flag", "0", classBody), http.StatusOK)
		if accepted.Version != 1 {
			t.Fatalf("after a lost commit response: %+v", accepted)
		}
		api.table.SetUnavailable(true)
		w := api.send(http.MethodPut, "/classes/gate-check", "1", classBody)
		if response := decodeResponse[errorResponse](t, w, http.StatusServiceUnavailable); response.Error.Code != codeTableUnavailable || w.Header().Get("Retry-After") == "" {
			t.Fatalf("while the table is down: %+v", response)
		}
		read := decodeResponse[classesResponse](t, api.send(http.MethodGet, "/classes", "", ""), http.StatusOK)
		if read.Source != sourceMemory || read.Version != 1 || len(read.Classes) != 1 {
			t.Fatalf("read while the table is down: %+v", read)
		}
		api.table.SetUnavailable(false)
		api.table.InjectFaults(storagetest.FaultDelayed)
		api.table.BeforeCommit(func([]storage.Write) { api.table.SetUnavailable(api.table.Commits() > 1) })
		unknown := decodeResponse[errorResponse](t, api.send(http.MethodPut, "/classes/gate-check", "1", classBody), http.StatusGatewayTimeout)
		if unknown.Error.Code != codeOutcomeUnknown || unknown.Version != 2 {
			t.Fatalf("unknown outcome: %+v", unknown)
		}
	})
}

// A generated key must appear only in the response that creates the customer,
// and must stop working when the customer is removed.
func TestGeneratedKeyIsReturnedOnce(t *testing.T) {
	api := newTestAPI()
	created := decodeResponse[changeResponse](t, api.send(http.MethodPut, "/customers/ledger", "0", ""), http.StatusOK)
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	auth.SetBearer(r.Header, created.APIKey)
	if name, err := auth.AuthenticateCustomer(api.targets.Current(), false, r); err != nil || name != "ledger" {
		t.Fatalf("caller with the new key: %q, %v", name, err)
	}
	for _, path := range []string{"/customers", "/customers/ledger"} {
		body := api.send(http.MethodGet, path, "", "").Body.String()
		if strings.Contains(body, created.APIKey) || strings.Contains(body, auth.HashKey(created.APIKey)) {
			t.Fatalf("%s: the response contains the key or its hash: %s", path, body)
		}
	}
	withKeyHash := decodeResponse[changeResponse](t, api.send(http.MethodPut, "/customers/kaivonkansi", "1", `{"key_hash":"`+auth.HashKey("k")+`"}`), http.StatusOK)
	if withKeyHash.APIKey != "" {
		t.Fatal("a key was generated although a hash was given")
	}
	decodeResponse[changeResponse](t, api.send(http.MethodDelete, "/customers/ledger", "2", ""), http.StatusOK)
	if _, err := auth.AuthenticateCustomer(api.targets.Current(), false, r); err == nil {
		t.Fatal("the key of a removed customer still works")
	}
}

// A request with ?wait must not report a change as applied while a process with
// a recent status has an older version, and must not wait for processes without
// a recent status.
func TestWaitForPropagation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api := newTestAPI()
		start := time.Now()
		late := decodeResponse[changeResponse](t, api.send(http.MethodPut, "/classes/hazard-flag?wait=14s", "0", classBody), http.StatusOK)
		if late.Propagation.Applied || !slices.Equal(late.Propagation.Behind, []string{"a"}) || time.Since(start) != 14*time.Second {
			t.Fatalf("one process has an older version: %+v after %v", late.Propagation, time.Since(start))
		}
		time.AfterFunc(2*time.Second, func() { api.reportedVersion.Store(2) })
		start = time.Now()
		done := decodeResponse[changeResponse](t, api.send(http.MethodPut, "/classes/hazard-flag?wait=14s", "1", classBody), http.StatusOK)
		if !done.Propagation.Applied || !slices.Equal(done.Propagation.NotHeardFrom, []string{"silent", "never"}) {
			t.Fatalf("all processes with a recent status have applied it: %+v", done.Propagation)
		}
		if elapsed := time.Since(start); elapsed > 2*time.Second+propagationPollInterval {
			t.Fatalf("response after %v", elapsed)
		}
		status := decodeResponse[statusResponse](t, api.send(http.MethodGet, "/status", "", ""), http.StatusOK)
		if status.LocalVersion != 2 || len(status.Processes) != 3 || status.Processes[1].HasRecentStatus {
			t.Fatalf("status: %+v", status)
		}
		engines := decodeResponse[backendServersResponse](t, api.send(http.MethodGet, "/engines", "", ""), http.StatusOK)
		if len(engines.BackendServers) != 1 || *engines.BackendServers[0].StatusAge != jsonDuration(time.Second) {
			t.Fatalf("engines: %+v", engines)
		}
	})
}

func TestOperatorKeyIsRequired(t *testing.T) {
	api := newTestAPI()
	for _, path := range []string{"/classes", "/customers", "/engines", "/status"} {
		w := httptest.NewRecorder()
		api.router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Prefix+path, nil))
		if w.Code != http.StatusUnauthorized {
			t.Errorf("%s without a key: %d", path, w.Code)
		}
	}
}
