package targets

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

func validClass() Class {
	return Class{Name: "hazard-flag", Model: "apple-avustaja", FirstToken: time.Second}
}

func TestClassProblems(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *Class)
		fields []string
	}{
		{"valid", func(c *Class) {}, nil},
		{"empty name", func(c *Class) { c.Name = "" }, []string{"name"}},
		{"name with a slash", func(c *Class) { c.Name = "a/b" }, []string{"name"}},
		{"negative tier", func(c *Class) { c.Tier = -1 }, []string{"tier"}},
		{"tier too high", func(c *Class) { c.Tier = MaxTier + 1 }, []string{"tier"}},
		{"neither model nor service", func(c *Class) { c.Model = "" }, []string{"model"}},
		{"model and service", func(c *Class) { c.Service = "weighbridge" }, []string{"service"}},
		{"no target", func(c *Class) { c.FirstToken = 0 }, []string{"first_token"}},
		{"negative target", func(c *Class) { c.Completion = -1 }, []string{"completion"}},
		{"target too long", func(c *Class) { c.Completion = MaxLatencyTarget + 1 }, []string{"completion"}},
		{"first token after completion", func(c *Class) { c.Completion = time.Millisecond }, []string{"first_token"}},
		{"all at once", func(c *Class) { *c = Class{Tier: 9} }, []string{"name", "tier", "model", "first_token"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := validClass()
			tt.change(&c)
			var fields []string
			for _, p := range c.Problems() {
				fields = append(fields, p.Field)
			}
			if !slices.Equal(fields, tt.fields) {
				t.Fatalf("fields: got %v, want %v", fields, tt.fields)
			}
		})
	}
}

// An operator must see every invalid field after one attempt, including names and
// key hashes that are used twice.
func TestValidateReportsAllProblems(t *testing.T) {
	hash := strings.Repeat("0a", 32)
	duplicate := validClass()
	duplicate.Tier = 7
	set := &Set{
		Classes:   []Class{validClass(), duplicate},
		Customers: []Customer{{Name: "kaivonkansi", KeyHash: hash}, {Name: "ledger", KeyHash: hash}, {Name: "ledger", KeyHash: "AB"}},
	}
	var invalid *ValidationError
	if !errors.As(set.Validate(), &invalid) {
		t.Fatal("want a ValidationError")
	}
	want := []string{
		"classes.hazard-flag.tier", "classes.hazard-flag.name",
		"customers.ledger.key_hash", "customers.ledger.key_hash", "customers.ledger.name",
	}
	var got []string
	for _, p := range invalid.Problems {
		got = append(got, p.Field)
	}
	if !slices.Equal(got, want) {
		t.Fatalf("fields: got %v, want %v", got, want)
	}
}
