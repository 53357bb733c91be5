package soak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/soak"
)

const (
	// soakSeed and soakFor are of the short soak; the long ones are played by
	// hand, with the command.
	soakSeed = 1
	soakFor  = 8 * time.Second
)

// TestShortSoak plays a seed on three gateways that are processes of their own.
// A failed one leaves its evidence and is played again by the command soak.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	build := exec.CommandContext(t.Context(), "go", "build", "-o", dir+string(filepath.Separator),
		"github.com/applepier/applepier/cmd/applepier", "github.com/applepier/applepier/testbed/cmd/soak")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, output)
	}
	result, err := soak.Run(t.Context(), soak.Config{
		Seed: soakSeed, For: soakFor, Gateways: 3, Evidence: os.TempDir(),
		Gateway: filepath.Join(dir, "applepier"), Soak: filepath.Join(dir, "soak"),
	})
	t.Log(result)
	for _, v := range result.Violations {
		t.Error(v)
	}
	if err != nil {
		t.Error(err)
	}
	if result.Served == 0 || result.Owed == 0 {
		t.Error("nothing was served, or nothing could be judged")
	}
}
