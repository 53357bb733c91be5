package targets

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// Numbers of classes and customers at the system's target size.
const (
	classCount    = 60
	customerCount = 400
)

func benchSet() *Set {
	set := &Set{Version: 1000}
	for i := range classCount {
		set.Classes = append(set.Classes, Class{
			Name: fmt.Sprintf("class-%02d", i), Tier: i % (MaxTier + 1), Model: fmt.Sprintf("model-%02d", i%12),
			FirstToken: 850 * time.Millisecond, BetweenTokens: 26 * time.Millisecond, Completion: time.Minute,
		})
	}
	for i := range customerCount {
		set.Customers = append(set.Customers, Customer{Name: fmt.Sprintf("customer-%03d", i), KeyHash: fmt.Sprintf("%064x", i)})
	}
	return set
}

// BenchmarkSetJSON measures decoding a new version read from the table service.
// The metric json-B is the encoded size of the Set in bytes.
func BenchmarkSetJSON(b *testing.B) {
	data, err := json.Marshal(benchSet())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var set Set
		if err := json.Unmarshal(data, &set); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "json-B")
}

// BenchmarkClass measures the lookup of the last class, which takes the longest.
func BenchmarkClass(b *testing.B) {
	set := benchSet()
	last := set.Classes[classCount-1].Name
	for b.Loop() {
		set.Class(last)
	}
}
