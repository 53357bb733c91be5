package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/storage/storagetest"
	"github.com/applepier/applepier/internal/targets"
)

// At the system's target size the set row must be small enough to be read as a
// whole.
func TestSetRowSizeAtTargetSize(t *testing.T) {
	table := storagetest.NewTable()
	_, err := New(table).Change(t.Context(), 0, func(set *targets.Set) error {
		for i := range 400 {
			set.Customers = append(set.Customers, targets.Customer{Name: fmt.Sprintf("customer-%03d", i), KeyHash: fmt.Sprintf("%064x", i)})
		}
		for i := range 50 {
			set.Classes = append(set.Classes, targets.Class{Name: fmt.Sprintf("class-%02d", i), Model: "apple-avustaja", FirstToken: 850 * time.Millisecond, BetweenTokens: 26 * time.Millisecond, Completion: time.Minute})
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	row, err := table.Get(t.Context(), setKey)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("set row: %d bytes", len(row.Value))
	if len(row.Value) > 64<<10 {
		t.Fatalf("set row: %d bytes, want at most 64 KiB", len(row.Value))
	}
}
