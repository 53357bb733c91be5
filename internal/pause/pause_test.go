package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		if !For(ctx, 20*time.Second) || time.Since(began) != 20*time.Second {
			t.Errorf("the whole time: after %v", time.Since(began))
		}
		if !For(ctx, -time.Second) || time.Since(began) != 20*time.Second {
			t.Errorf("a time that has passed: after %v", time.Since(began))
		}
		if For(ctx, time.Hour) || time.Since(began) != time.Minute {
			t.Errorf("longer than the context: after %v", time.Since(began))
		}
		if For(ctx, 0) {
			t.Error("no time, after the context's end")
		}
	})
}
