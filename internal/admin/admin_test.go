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
	flagBody    = `{"tier": 0, "model": "apple-avustaja", "first_token": "850ms"}`
)

// fakeFleet answers what it is told.
type fakeFleet struct {
	processes func() []Process
}

func (f fakeFleet) Processes() []Process { return f.processes() }
func (f fakeFleet) Engines() []Engine {
	return []Engine{{VM: "e1", Serves: "apple-avustaja", Limit: 4, Heard: true, Age: time.Second}}
}

// bench is an API on a table in memory.
type bench struct {
	table  *storagetest.Table
	holder *targets.Holder
	router *httprouter.Router
	// inForce is the version that the process "a" tells.
	inForce atomic.Uint64
}

func newBench() *bench {
	b := &bench{table: storagetest.NewTable(), holder: targets.NewHolder(), router: httprouter.New()}
	fleet := fakeFleet{processes: func() []Process {
		return []Process{{Name: "a", Heard: true, Version: b.inForce.Load()}, {Name: "silent", Heard: true, Age: time.Minute}, {Name: "never"}}
	}}
	New(Config{Store: store.New(b.table), Holder: b.holder, Fleet: fleet, OperatorKey: operatorKey}).Register(b.router)
	return b
}

// do sends a request; an empty version sends no If-Match.
func (b *bench) do(method, path, version, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, Prefix+path, strings.NewReader(body))
	auth.SetBearer(r.Header, operatorKey)
	if version != "" {
		r.Header.Set("If-Match", `"`+version+`"`)
	}
	w := httptest.NewRecorder()
	b.router.ServeHTTP(w, r)
	return w
}

// want checks an answer's status and returns its body decoded.
func want[T any](t *testing.T, w *httptest.ResponseRecorder, status int) T {
	t.Helper()
	var answer T
	if w.Code != status {
		t.Fatalf("status: got %d, want %d: %s", w.Code, status, w.Body)
	}
	if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
		t.Fatal(err)
	}
	return answer
}

// UnmarshalJSON lets the tests read what the API writes.
func (d *duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = duration(parsed)
	return err
}

func TestLifeOfAClass(t *testing.T) {
	b := newBench()
	created := want[changeAnswer](t, b.do(http.MethodPut, "/classes/hazard-flag", "0", flagBody), http.StatusOK)
	if !created.Accepted || created.Version != 1 || created.Class.FirstToken != duration(850*time.Millisecond) {
		t.Fatalf("created: %+v", created)
	}
	if b.holder.Current().Version != 1 {
		t.Fatal("the accepted change is not in force here")
	}
	patched := want[changeAnswer](t, b.do(http.MethodPatch, "/classes/hazard-flag", "1", `{"completion": "3s", "repeatable": true}`), http.StatusOK)
	if c := patched.Class; c.Completion != duration(3*time.Second) || c.FirstToken != duration(850*time.Millisecond) || !c.Repeatable {
		t.Fatalf("patched: %+v", c)
	}
	want[changeAnswer](t, b.do(http.MethodPatch, "/classes/hazard-flag", "2", `{"first_token": null}`), http.StatusOK)
	retired := want[changeAnswer](t, b.do(http.MethodDelete, "/classes/hazard-flag", "3", ""), http.StatusOK)
	if !retired.Class.Retired || retired.Class.FirstToken != 0 {
		t.Fatalf("retired: %+v", retired.Class)
	}
	w := b.do(http.MethodGet, "/classes/hazard-flag", "", "")
	got := want[resourceAnswer](t, w, http.StatusOK)
	if got.Version != 4 || got.Source != sourceTable || w.Header().Get("ETag") != `"4"` {
		t.Fatalf("read: %+v, ETag %s", got, w.Header().Get("ETag"))
	}
	want[errorAnswer](t, b.do(http.MethodDelete, "/classes/other", "4", ""), http.StatusNotFound)
}

func TestEveryProblemOfARequestAtOnce(t *testing.T) {
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
		{"no version", http.MethodPut, "/classes/x", "", flagBody, 428, nil},
	}
	b := newBench()
	want[changeAnswer](t, b.do(http.MethodPut, "/classes/hazard-flag", "0", flagBody), http.StatusOK)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			answer := want[errorAnswer](t, b.do(tt.method, tt.path, tt.version, tt.body), tt.status)
			var got []string
			for _, p := range answer.Problems {
				got = append(got, p.Field)
			}
			if !slices.Equal(got, tt.fields) {
				t.Fatalf("fields: got %v, want %v", got, tt.fields)
			}
			if version := b.holder.Current().Version; version != 1 {
				t.Fatalf("version after a refused request: %d", version)
			}
		})
	}
	want[errorAnswer](t, b.do(http.MethodPut, "/classes/x", "1", strings.Repeat(" ", maxBody+1)), http.StatusRequestEntityTooLarge)
}

func TestSecondOperatorSeesTheNewerState(t *testing.T) {
	b := newBench()
	want[changeAnswer](t, b.do(http.MethodPut, "/classes/hazard-flag", "0", flagBody), http.StatusOK)
	w := b.do(http.MethodPut, "/classes/hazard-flag", "0", strings.Replace(flagBody, "850ms", "2s", 1))
	conflict := want[errorAnswer](t, w, http.StatusConflict)
	if conflict.Version != 1 || conflict.Class == nil || conflict.Class.FirstToken != duration(850*time.Millisecond) || w.Header().Get("ETag") != `"1"` {
		t.Fatalf("conflict: %+v", conflict)
	}
}

func TestChangeUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.table.FailCommits(storagetest.FaultLost)
		accepted := want[changeAnswer](t, b.do(http.MethodPut, "/classes/hazard-flag", "0", flagBody), http.StatusOK)
		if accepted.Version != 1 {
			t.Fatalf("after a lost answer: %+v", accepted)
		}
		b.table.SetDown(true)
		w := b.do(http.MethodPut, "/classes/gate-check", "1", flagBody)
		if answer := want[errorAnswer](t, w, http.StatusServiceUnavailable); answer.Error.Code != codeUnavailable || w.Header().Get("Retry-After") == "" {
			t.Fatalf("while the table is down: %+v", answer)
		}
		read := want[classesAnswer](t, b.do(http.MethodGet, "/classes", "", ""), http.StatusOK)
		if read.Source != sourceMemory || read.Version != 1 || len(read.Classes) != 1 {
			t.Fatalf("read while the table is down: %+v", read)
		}
		b.table.SetDown(false)
		b.table.FailCommits(storagetest.FaultLate)
		b.table.BeforeCommit(func([]storage.Write) { b.table.SetDown(b.table.Commits() > 1) })
		unknown := want[errorAnswer](t, b.do(http.MethodPut, "/classes/gate-check", "1", flagBody), http.StatusGatewayTimeout)
		if unknown.Error.Code != codeOutcomeUnknown || unknown.Version != 2 {
			t.Fatalf("unknown outcome: %+v", unknown)
		}
	})
}

func TestNewCustomerGetsItsKeyOnce(t *testing.T) {
	b := newBench()
	created := want[changeAnswer](t, b.do(http.MethodPut, "/customers/ledger", "0", ""), http.StatusOK)
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	auth.SetBearer(r.Header, created.APIKey)
	if name, err := auth.Caller(b.holder.Current(), false, r); err != nil || name != "ledger" {
		t.Fatalf("caller with the new key: %q, %v", name, err)
	}
	for _, path := range []string{"/customers", "/customers/ledger"} {
		body := b.do(http.MethodGet, path, "", "").Body.String()
		if strings.Contains(body, created.APIKey) || strings.Contains(body, auth.HashKey(created.APIKey)) {
			t.Fatalf("%s tells the key or its hash: %s", path, body)
		}
	}
	given := want[changeAnswer](t, b.do(http.MethodPut, "/customers/kaivonkansi", "1", `{"key_hash":"`+auth.HashKey("k")+`"}`), http.StatusOK)
	if given.APIKey != "" {
		t.Fatal("a key was made although a hash was given")
	}
	want[changeAnswer](t, b.do(http.MethodDelete, "/customers/ledger", "2", ""), http.StatusOK)
	if _, err := auth.Caller(b.holder.Current(), false, r); err == nil {
		t.Fatal("the key of a removed customer still works")
	}
}

func TestWaitNamesWhoIsNotHeardFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		began := time.Now()
		late := want[changeAnswer](t, b.do(http.MethodPut, "/classes/hazard-flag?wait=14s", "0", flagBody), http.StatusOK)
		if late.Spread.InForce || !slices.Equal(late.Spread.Behind, []string{"a"}) || time.Since(began) != 14*time.Second {
			t.Fatalf("one process stays behind: %+v after %v", late.Spread, time.Since(began))
		}
		time.AfterFunc(2*time.Second, func() { b.inForce.Store(2) })
		began = time.Now()
		done := want[changeAnswer](t, b.do(http.MethodPut, "/classes/hazard-flag?wait=14s", "1", flagBody), http.StatusOK)
		if !done.Spread.InForce || !slices.Equal(done.Spread.NotHeardFrom, []string{"silent", "never"}) {
			t.Fatalf("all heard from have it: %+v", done.Spread)
		}
		if took := time.Since(began); took > 2*time.Second+awaitInterval {
			t.Fatalf("answered after %v", took)
		}
		status := want[statusAnswer](t, b.do(http.MethodGet, "/status", "", ""), http.StatusOK)
		if status.InForceHere != 2 || len(status.Processes) != 3 || status.Processes[1].Heard {
			t.Fatalf("status: %+v", status)
		}
		engines := want[enginesAnswer](t, b.do(http.MethodGet, "/engines", "", ""), http.StatusOK)
		if len(engines.Engines) != 1 || *engines.Engines[0].Age != duration(time.Second) {
			t.Fatalf("engines: %+v", engines)
		}
	})
}

func TestOperatorsKeyIsRequired(t *testing.T) {
	b := newBench()
	for _, path := range []string{"/classes", "/customers", "/engines", "/status"} {
		w := httptest.NewRecorder()
		b.router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Prefix+path, nil))
		if w.Code != http.StatusUnauthorized {
			t.Errorf("%s without a key: %d", path, w.Code)
		}
	}
}
