package soak

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/cloud"
	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/rowstore"
)

// Paths of the control servers of the stand-in server and store.
const (
	pathScript       = "/script"
	pathPut          = "/put"
	pathRemove       = "/remove"
	pathFault        = "/fault"
	pathTruncate     = "/forget"
	pathSnapshot     = "/copy"
	pathRestore      = "/return"
	pathRewrite      = "/again"
	pathDutiesFault  = "/cloud"
	pathRunDelayed   = "/land"
	pathDutiesReport = "/broken"
)

// instanceSeparator separates a server's name from the number of its instance.
const instanceSeparator = "."

// ServeServer runs a stand-in backend server of a software version until ctx is done. It serves requests
// at listen, accepts script changes at control and appends each arrival as a line of
// JSON to the file record.
func ServeServer(ctx context.Context, listen, control, instance, version, record string) error {
	file, err := os.OpenFile(record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open arrivals file")
	}
	name, _, _ := strings.Cut(instance, instanceSeparator)
	var writing sync.Mutex
	recordArrival := func(scriptName string) gateway.Script {
		respondWith := scriptByName(scriptName, version)
		return func(c net.Conn, a *gateway.ReceivedRequest) bool {
			arrival := Arrival{ID: a.ID, Server: name, At: time.Now(), Script: scriptName, Ran: !rejects(scriptName), Cut: scriptName == "half" || scriptName == scriptEndlessBody, Instance: instance, Draining: scriptName == scriptDrain}
			if scriptName == scriptBackoff {
				arrival.Backoff = backoffTime
			}
			arrival.Crashed = crashesServer(a) && answersInScript(scriptName)
			if arrival.Crashed {
				// Another request may make the server crash during the delay.
				time.Sleep(crashDelay(a.ID))
				arrival.At = time.Now()
			}
			writing.Lock()
			// Recorded before the request runs, so that no run of a killed
			// process is missing.
			err := json.NewEncoder(file).Encode(arrival)
			if arrival.Crashed {
				// The lock is kept, so that nothing is recorded after the crash.
				beginAnswer(c, a, version)
				os.Exit(crashExitCode)
			}
			writing.Unlock()
			if err == nil && endsWithConnection(a) && scriptName == scriptNames[0] {
				respondWith = delayed(maxServiceMS, respondUntilClose(version))
			}
			return err == nil && respondWith(c, a)
		}
	}
	server, err := gateway.Listen(listen, instance, recordArrival(scriptNames[0]), func(*gateway.ReceivedRequest) {})
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	defer server.Stop()
	mux := http.NewServeMux()
	mux.HandleFunc(pathScript, func(_ http.ResponseWriter, r *http.Request) { server.SetScript(recordArrival(r.FormValue("name"))) })
	return serve(ctx, control, mux)
}

// ServeStore runs the stand-in platform until ctx is done or a listener fails. It
// serves the store at listen and the usage reporting API at duties, and accepts rows
// and faults at control.
func ServeStore(ctx context.Context, listen, duties, control string) error {
	store := rowstore.New()
	platform := cloud.New(usageLease)
	mux := http.NewServeMux()
	mux.HandleFunc(pathPut, func(_ http.ResponseWriter, r *http.Request) {
		// Gateways detect a truncated document.
		value, _ := io.ReadAll(r.Body)
		store.Put(r.URL.Query().Get("table"), r.URL.Query().Get("key"), value)
	})
	mux.HandleFunc(pathRemove, func(_ http.ResponseWriter, r *http.Request) {
		store.Delete(r.FormValue("table"), r.FormValue("key"))
	})
	mux.HandleFunc(pathFault, func(w http.ResponseWriter, r *http.Request) {
		fault, err := strconv.Atoi(r.FormValue("fault"))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		store.SetFault(rowstore.Fault(fault))
	})
	mux.HandleFunc(pathTruncate, func(http.ResponseWriter, *http.Request) { store.TruncateHistory() })
	var snapshot atomic.Pointer[rowstore.Snapshot]
	takeSnapshot := func() {
		taken := store.Snapshot()
		snapshot.Store(&taken)
	}
	takeSnapshot()
	mux.HandleFunc(pathSnapshot, func(http.ResponseWriter, *http.Request) { takeSnapshot() })
	mux.HandleFunc(pathRestore, func(http.ResponseWriter, *http.Request) { store.Restore(*snapshot.Load()) })
	mux.HandleFunc(pathRewrite, func(http.ResponseWriter, *http.Request) { store.RewriteLost("op", "servers") })
	mux.HandleFunc(pathDutiesFault, func(w http.ResponseWriter, r *http.Request) {
		fault, err := strconv.Atoi(r.FormValue("fault"))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		platform.SetFault(cloud.Fault(fault))
	})
	mux.HandleFunc(pathRunDelayed, func(http.ResponseWriter, *http.Request) { platform.RunDelayed() })
	mux.HandleFunc(pathDutiesReport, func(w http.ResponseWriter, _ *http.Request) {
		// Encoding fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(Duties{Reports: len(platform.Reports()), Broken: platform.Violations()})
	})
	done := make(chan error, 3)
	go func() { done <- serve(ctx, duties, platform) }()
	go func() { done <- serve(ctx, listen, store) }()
	go func() { done <- serve(ctx, control, mux) }()
	return <-done
}

// serve runs an HTTP server until ctx is done.
func serve(ctx context.Context, addr string, handler http.Handler) error {
	server := &http.Server{Addr: addr, Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
