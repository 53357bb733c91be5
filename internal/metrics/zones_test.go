package metrics

import (
	"strings"
	"testing"
)

// Guards against series of zones where no price is set, and against a pair whose last share stays after
// it isn't planned any more.
func TestZoneShares(t *testing.T) {
	m, price := New(), 2.5
	var stats GatewayStats
	m.CollectGateway(func() GatewayStats { return stats })
	scrape := func() string {
		m.runScrapeHooks()
		return formatText(t, m)
	}
	if text := scrape(); strings.Contains(text, string(familyZoneShare)) || strings.Contains(text, string(familyZonePrice)) {
		t.Error("series of zones without a price")
	}
	stats = GatewayStats{ZonePrice: &price, ZoneShares: []ZoneShare{{Service: "s", From: "a", To: "b", Fraction: 0.25}}}
	for _, want := range []string{string(familyZonePrice) + " 2500\n", string(familyZoneShare) + `{service="s",from="a",to="b"} 250` + "\n"} {
		if text := scrape(); !strings.Contains(text, want) {
			t.Errorf("no %q", want)
		}
	}
	stats.ZoneShares = nil
	if want := string(familyZoneShare) + `{service="s",from="a",to="b"} 0` + "\n"; !strings.Contains(scrape(), want) {
		t.Errorf("no %q", want)
	}
}
