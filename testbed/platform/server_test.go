package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
	standin "github.com/applepier/applepier/testbed/platform"
)

type fixture struct {
	t          testing.TB
	server     *standin.Server
	httpServer *httptest.Server
	client     *storage.HTTPClient
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	server := standin.New()
	httpServer := httptest.NewServer(server)
	t.Cleanup(httpServer.Close)
	return &fixture{t: t, server: server, httpServer: httpServer, client: storage.NewHTTPClient(httpServer.URL)}
}

// sendControl sends a request to a test-only endpoint or to the VM list and requires success.
func (f *fixture) sendControl(method, path, body string) {
	f.t.Helper()
	req, err := http.NewRequest(method, f.httpServer.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, _ := io.ReadAll(resp.Body)
	if resp.StatusCode >= 300 {
		f.t.Fatalf("%s %s: status %d: %s", method, path, resp.StatusCode, responseBody)
	}
}

func (f *fixture) wantError(err, want error) {
	f.t.Helper()
	if !errors.Is(err, want) {
		f.t.Fatalf("got %v, want %v", err, want)
	}
}

func putWrite(key, value string, expect uint64) storage.Write {
	return storage.Write{Key: key, Value: []byte(value), Expect: expect}
}

func TestCommitIsAllOrNothing(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.wantError(f.client.Commit(ctx, []storage.Write{putWrite("a/1", "x", 0), putWrite("a/2", "y", 0), putWrite("b", "z", 0)}), nil)
	f.wantError(f.client.Commit(ctx, []storage.Write{putWrite("a/1", "new", 1), putWrite("a/2", "new", 7)}), storage.ErrConflict)
	rows, err := f.client.List(ctx, "a/")
	f.wantError(err, nil)
	if len(rows) != 2 || string(rows[0].Value) != "x" || rows[1].Key != "a/2" || rows[1].Version != 1 {
		t.Fatalf("rows: %+v", rows)
	}
	f.wantError(f.client.Commit(ctx, []storage.Write{putWrite("a/1", "new", 1), {Key: "a/2", Expect: storage.AnyVersion, Delete: true}}), nil)
	row, err := f.client.Get(ctx, "a/1")
	f.wantError(err, nil)
	if string(row.Value) != "new" || row.Version != 2 {
		t.Errorf("row: %+v", row)
	}
	_, err = f.client.Get(ctx, "a/2")
	f.wantError(err, storage.ErrNotFound)
}

func TestDroppedResponseKeepsWrite(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.sendControl(http.MethodPut, "/knobs", `{"lose_answers":1}`)
	f.wantError(f.client.Commit(ctx, []storage.Write{putWrite("a", "x", 0)}), storage.ErrOutcomeUnknown)
	row, err := f.client.Get(ctx, "a")
	f.wantError(err, nil)
	if row.Version != 1 {
		t.Errorf("version: got %d, want 1: the write was sent more than once", row.Version)
	}
	f.wantError(f.client.Commit(ctx, []storage.Write{putWrite("a", "y", 1)}), nil)
	stats := f.server.Stats()
	if stats.Writes != 2 || stats.RowsWritten != 2 || stats.DroppedResponses != 1 || stats.Reads != 1 {
		t.Errorf("stats: %+v", stats)
	}
}

func TestOutageReturnsErrUnavailable(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.wantError(f.client.PutObject(ctx, "w/ 1?", []byte("v")), nil)
	value, err := f.client.GetObject(ctx, "w/ 1?")
	f.wantError(err, nil)
	if string(value) != "v" {
		t.Errorf("object: %q", value)
	}
	_, err = f.client.GetObject(ctx, "w/2")
	f.wantError(err, storage.ErrNotFound)
	f.sendControl(http.MethodPut, "/knobs", `{"down":true}`)
	_, err = f.client.GetObject(ctx, "w/ 1?")
	f.wantError(err, storage.ErrUnavailable)
	f.wantError(f.client.Commit(ctx, []storage.Write{putWrite("a", "x", 0)}), storage.ErrUnavailable)
	_, err = f.client.VMs(ctx)
	f.wantError(err, storage.ErrUnavailable)
	f.httpServer.Close()
	f.wantError(f.client.Commit(ctx, []storage.Write{putWrite("a", "x", 0)}), storage.ErrUnavailable)
}

func TestDelayedWriteTakesEffectAfterClientTimeout(t *testing.T) {
	f := newFixture(t)
	f.sendControl(http.MethodPut, "/knobs", `{"slow_ms":2500}`)
	// Long enough to connect, and shorter than the client's own limit.
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := f.client.Commit(ctx, []storage.Write{putWrite("a", "x", 0)}); !errors.Is(err, storage.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want ErrOutcomeUnknown", err)
	}
	f.sendControl(http.MethodPut, "/knobs", `{"slow_ms":0}`)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, err := f.client.Get(context.Background(), "a"); err == nil {
			return
		}
	}
	t.Fatal("the write did not take effect")
}

func TestVMListLagHidesRecentChanges(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.sendControl(http.MethodPut, "/vms/e1", `{"addr":"127.0.0.1:1","zone":"malaga","role":"entry"}`)
	f.sendControl(http.MethodPut, "/vms/b1", `{"addr":"127.0.0.1:2","zone":"kewdale","role":"backend","serves":"m"}`)
	names := func() []string {
		vms, err := f.client.VMs(ctx)
		f.wantError(err, nil)
		var names []string
		for _, vm := range vms {
			if vm.Draining {
				vm.Name += " draining"
			}
			names = append(names, vm.Name)
		}
		return names
	}
	if got := names(); !slices.Equal(got, []string{"b1", "e1"}) {
		t.Fatalf("list: %v", got)
	}
	f.sendControl(http.MethodPut, "/knobs", `{"list_lag_ms":3600000}`)
	f.sendControl(http.MethodPost, "/vms/b1/leaving", "")
	f.sendControl(http.MethodDelete, "/vms/e1", "")
	if got := names(); len(got) != 0 {
		t.Fatalf("list one hour ago: %v", got)
	}
	f.sendControl(http.MethodPut, "/knobs", `{"list_lag_ms":0}`)
	if got := names(); !slices.Equal(got, []string{"b1 draining"}) {
		t.Fatalf("current list: %v", got)
	}
}

func TestRequestsAboveRateLimitAreRejected(t *testing.T) {
	f := newFixture(t)
	f.sendControl(http.MethodPut, "/knobs", `{"writes_per_second":0}`)
	f.wantError(f.client.Commit(context.Background(), []storage.Write{putWrite("a", "x", 0)}), storage.ErrUnavailable)
	if stats := f.server.Stats(); stats.Throttled != 1 || stats.Writes != 0 {
		t.Errorf("stats: %+v", stats)
	}
}
