package gateway

import "testing"

// Gateways that started together don't all look through the list at the same
// time, and remove the same entries.
func TestTidyingIsSpread(t *testing.T) {
	const draws, parts = 1000, 10
	var seen [parts]int
	for range draws {
		pause := tidyPause()
		if pause < tidyEvery/2 || pause >= 3*tidyEvery/2 {
			t.Fatalf("a pause of %v", pause)
		}
		seen[int((pause-tidyEvery/2)*parts/tidyEvery)]++
	}
	for part, n := range seen {
		if n < draws/parts/2 {
			t.Errorf("%d of %d pauses in part %d of %d", n, draws, part, parts)
		}
	}
}
