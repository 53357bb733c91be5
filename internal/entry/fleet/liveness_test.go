package fleet

import (
	"testing"
	"time"
)

func TestLiveness(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	check := func(v *liveness, ms int, busy, ask, dead bool) {
		t.Helper()
		gotAsk, gotDead := v.check(at(ms), busy)
		if gotAsk != ask || gotDead != dead {
			t.Fatalf("at %d ms: ask %t, dead %t; want %t, %t", ms, gotAsk, gotDead, ask, dead)
		}
	}
	t.Run("idle connections cost nothing", func(t *testing.T) {
		var v liveness
		check(&v, 100_000, false, false, false)
	})
	t.Run("work outstanding", func(t *testing.T) {
		var v liveness
		check(&v, 0, true, true, false)
		check(&v, 900, true, true, false)
		v.noteSeen()
		check(&v, 1200, true, true, false)
		check(&v, 2300, true, true, true)
	})
	t.Run("message that nothing follows", func(t *testing.T) {
		var v liveness
		v.noteSent(at(0))
		check(&v, 900, false, false, false)
		check(&v, 1100, false, true, false)
		check(&v, 2000, false, true, false)
		check(&v, 2200, false, true, true)
	})
	t.Run("old message is not held against new work", func(t *testing.T) {
		var v liveness
		v.noteSent(at(0))
		check(&v, 5000, true, true, false)
		v.noteSeen()
		check(&v, 5300, false, false, false)
	})
}
