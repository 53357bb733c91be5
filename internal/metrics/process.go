package metrics

import (
	"runtime"
	"runtime/metrics"
	"strings"
	"syscall"
	"time"
)

// memoryMetric is the Go runtime's count of all memory that it has mapped.
const memoryMetric = "/memory/classes/total:bytes"

// processText writes the series that are read from the process when asked.
func processText() string {
	var text strings.Builder
	for _, sample := range []struct {
		family family
		kind   string
		value  float64
	}{
		{familyCPU, "counter", cpuTime().Seconds()},
		{familyGoroutines, "gauge", float64(runtime.NumGoroutine())},
		{familyMemory, "gauge", float64(memory())},
	} {
		text.WriteString("# HELP " + string(sample.family) + " " + help[sample.family] + "\n")
		text.WriteString("# TYPE " + string(sample.family) + " " + sample.kind + "\n")
		writeSample(&text, string(sample.family), "", sample.value)
	}
	return text.String()
}

// cpuTime is the CPU time that this process has used, or zero when the
// operating system doesn't say.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func memory() uint64 {
	samples := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return samples[0].Value.Uint64()
}
