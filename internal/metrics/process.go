package metrics

import (
	"runtime"
	"runtime/metrics"
	"strings"
	"syscall"
	"time"
)

// memoryMetric is the Go runtime's metric for all memory that it has mapped, in
// bytes.
const memoryMetric = "/memory/classes/total:bytes"

// formatProcessMetrics returns the series that are read from the operating system
// and the Go runtime at each scrape, in the Prometheus text format.
func formatProcessMetrics() string {
	var text strings.Builder
	for _, sample := range []struct {
		family family
		kind   string
		value  float64
	}{
		{familyCPU, "counter", cpuTime().Seconds()},
		{familyGoroutines, "gauge", float64(runtime.NumGoroutine())},
		{familyMemory, "gauge", float64(mappedMemory())},
	} {
		text.WriteString("# HELP " + string(sample.family) + " " + helpTexts[sample.family] + "\n")
		text.WriteString("# TYPE " + string(sample.family) + " " + sample.kind + "\n")
		writeSample(&text, string(sample.family), "", sample.value)
	}
	return text.String()
}

// cpuTime returns the user and system CPU time of this process, or zero if the
// operating system doesn't provide it.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// mappedMemory returns the value of memoryMetric, or zero if the runtime doesn't
// provide it.
func mappedMemory() uint64 {
	samples := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return samples[0].Value.Uint64()
}
