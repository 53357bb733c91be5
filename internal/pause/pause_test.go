package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		if !Sleep(ctx, 20*time.Second) || time.Since(start) != 20*time.Second {
			t.Errorf("full duration: returned after %v", time.Since(start))
		}
		if !Sleep(ctx, -time.Second) || time.Since(start) != 20*time.Second {
			t.Errorf("negative duration: returned after %v", time.Since(start))
		}
		if Sleep(ctx, time.Hour) || time.Since(start) != time.Minute {
			t.Errorf("context deadline before the duration: returned after %v", time.Since(start))
		}
		if Sleep(ctx, 0) {
			t.Error("zero duration with a done context: returned true")
		}
	})
}
