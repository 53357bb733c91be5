package policy

import (
	"fmt"
	"testing"
	"time"
)

// Guards against times of a class that follow a few requests, or its old ones.
func TestClassTimes(t *testing.T) {
	var c ClassTimes
	check := func(when, class string, want ClassTime) {
		t.Helper()
		if got := c.Of(class); got != want {
			t.Errorf("%s: got %+v, want %+v", when, got, want)
		}
	}
	check("without requests", "a", ClassTime{})
	c.Observe("a", time.Second)
	check("after one request", "a", ClassTime{Median: time.Second, Longest: time.Second})
	for i := range minTimeSamples - 1 {
		c.Observe("a", time.Duration(i+2)*time.Second)
	}
	check("after enough requests", "a", ClassTime{Median: 3 * time.Second, Longest: minTimeSamples * time.Second, Reliable: true})
	for range maxTimeSamples {
		c.Observe("a", time.Second)
	}
	check("after newer requests", "a", ClassTime{Median: time.Second, Longest: time.Second, Reliable: true})
	check("another class", "b", ClassTime{})
	for i := range 3 * maxTimedClasses {
		c.Observe(fmt.Sprint(i), time.Second)
	}
	if len(c.classes) > maxTimedClasses {
		t.Errorf("%d classes are remembered", len(c.classes))
	}
}
