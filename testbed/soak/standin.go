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
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/cloud"
	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/rowstore"
)

// Paths at which the stand-ins are told what to do.
const (
	pathScript = "/script"
	pathPut    = "/put"
	pathRemove = "/remove"
	pathFault  = "/fault"
	pathForget = "/forget"
	pathCopy   = "/copy"
	pathReturn = "/return"
	pathAgain  = "/again"
	pathCloud  = "/cloud"
	pathLand   = "/land"
	pathBroken = "/broken"
)

// instanceMark is between a server's name and the number of its start.
const instanceMark = "."

// ServeServer is a backend server's process: it takes requests at listen, is
// told its script at control and appends each arrival to a file.
func ServeServer(ctx context.Context, listen, control, instance, record string) error {
	file, err := os.OpenFile(record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "record of arrivals")
	}
	name, _, _ := strings.Cut(instance, instanceMark)
	var writing sync.Mutex
	recorded := func(as string) gateway.Script {
		do := script(as)
		return func(c net.Conn, a *gateway.Arrival) bool {
			arrival := Arrival{ID: a.ID, Server: name, At: time.Now(), Script: as, Ran: as != "refuse", Cut: as == "half"}
			writing.Lock()
			// Written before it runs, so that no run of a killed process is
			// missing.
			err := json.NewEncoder(file).Encode(arrival)
			writing.Unlock()
			return err == nil && do(c, a)
		}
	}
	server, err := gateway.Listen(listen, instance, recorded(scriptNames[0]), func(*gateway.Arrival) {})
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	defer server.Stop()
	orders := http.NewServeMux()
	orders.HandleFunc(pathScript, func(_ http.ResponseWriter, r *http.Request) { server.Do(recorded(r.FormValue("name"))) })
	return serve(ctx, control, orders)
}

// ServeStore is the process of the platform: it serves its store at listen, takes its
// duties' calls at duties, and is told rows and faults at control.
func ServeStore(ctx context.Context, listen, duties, control string) error {
	store := rowstore.New()
	platform := cloud.New(usageLease)
	orders := http.NewServeMux()
	orders.HandleFunc(pathPut, func(_ http.ResponseWriter, r *http.Request) {
		// A document that broke off on loopback is seen by its reader.
		value, _ := io.ReadAll(r.Body)
		store.Put(r.URL.Query().Get("table"), r.URL.Query().Get("key"), value)
	})
	orders.HandleFunc(pathRemove, func(_ http.ResponseWriter, r *http.Request) {
		store.Remove(r.FormValue("table"), r.FormValue("key"))
	})
	orders.HandleFunc(pathFault, func(w http.ResponseWriter, r *http.Request) {
		fault, err := strconv.Atoi(r.FormValue("fault"))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		store.SetFault(rowstore.Fault(fault))
	})
	orders.HandleFunc(pathForget, func(http.ResponseWriter, *http.Request) { store.Forget() })
	older := store.Copy()
	orders.HandleFunc(pathCopy, func(http.ResponseWriter, *http.Request) { older = store.Copy() })
	orders.HandleFunc(pathReturn, func(http.ResponseWriter, *http.Request) { store.Return(older) })
	orders.HandleFunc(pathAgain, func(http.ResponseWriter, *http.Request) { store.WriteAgain("op", "servers") })
	orders.HandleFunc(pathCloud, func(w http.ResponseWriter, r *http.Request) {
		fault, err := strconv.Atoi(r.FormValue("fault"))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		platform.SetFault(cloud.Fault(fault))
	})
	orders.HandleFunc(pathLand, func(http.ResponseWriter, *http.Request) { platform.Land() })
	orders.HandleFunc(pathBroken, func(w http.ResponseWriter, _ *http.Request) {
		// A reader that leaves asks again.
		_ = json.NewEncoder(w).Encode(Duties{Reports: len(platform.Reports()), Broken: platform.Broken()})
	})
	failed := make(chan error, 3)
	go func() { failed <- serve(ctx, duties, platform) }()
	go func() { failed <- serve(ctx, listen, store) }()
	go func() { failed <- serve(ctx, control, orders) }()
	return <-failed
}

// serve answers until ctx ends.
func serve(ctx context.Context, addr string, handler http.Handler) error {
	server := &http.Server{Addr: addr, Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
