package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/engine"
	"github.com/applepier/applepier/testbed/load"
)

func TestCommandReportsEveryTargetExceptApplepier(t *testing.T) {
	for _, target := range targetNames() {
		if target != targetApplepier {
			t.Run(target, func(t *testing.T) { testTarget(t, target) })
		}
	}
}

func testTarget(t *testing.T, target string) {
	t.Helper()
	server, err := engine.New(engine.Config{TokenInterval: 100 * time.Microsecond, Capacity: 64})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	path := filepath.Join(t.TempDir(), "report.json")
	var table bytes.Buffer
	err = newCommand(&table, io.Discard).Run(context.Background(), []string{
		"load", "--mix", "tampere", "--shape", "quiet", "--scale", "0.02", "--target", target,
		"--engine", httpServer.URL, "--json", path,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"tampere quiet, seed 1, target " + target, "condition-summary", "total", "goodput"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("table lacks %q:\n%s", want, table.String())
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var report load.Report
	if err := json.Unmarshal(text, &report); err != nil {
		t.Fatal(err)
	}
	if report.Total.Sent == 0 || report.Total.OnTime+report.Total.Late != report.Total.Sent {
		t.Errorf("total: %+v", report.Total)
	}
}
