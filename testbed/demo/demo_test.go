package demo_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/demo"
)

func TestDemoReportsLoadAndShutsDown(t *testing.T) {
	var out bytes.Buffer
	err := demo.Run(t.Context(), demo.Options{Seed: 1, Duration: 2 * time.Second, Out: &out, Progress: io.Discard})
	if err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, want := range []string{
		"18 processes", "hazard-flag", "condition-summary", "gate-log", "total", "phase burst", "shut down gracefully",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
}
