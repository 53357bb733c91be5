package metrics

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// quantiles of a histogram that are served.
var quantiles = []float64{0.5, 0.95, 0.99}

// microsecondsPerSecond turns what a histogram records into what is served.
const microsecondsPerSecond = 1e6

// writeText writes the registry's series in Prometheus' text format, sorted.
func writeText(out io.Writer, registry gometrics.Registry) error {
	series := make(map[string]any)
	registry.Each(func(key string, metric any) { series[key] = metric })
	var text strings.Builder
	var last family
	for _, key := range sortedKeys(series) {
		f, labels := split(key)
		if f != last {
			writeHead(&text, f, series[key])
			last = f
		}
		writeSeries(&text, f, labels, series[key])
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// sortedKeys sorts by family first, so that a family's series stand together.
func sortedKeys(series map[string]any) []string {
	keys := make([]string, 0, len(series))
	for key := range series {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		familyA, labelsA := split(a)
		familyB, labelsB := split(b)
		if familyA != familyB {
			return strings.Compare(string(familyA), string(familyB))
		}
		return strings.Compare(labelsA, labelsB)
	})
	return keys
}

func writeHead(text *strings.Builder, f family, metric any) {
	fmt.Fprintf(text, "# HELP %s %s\n", f, help[f])
	fmt.Fprintf(text, "# TYPE %s %s\n", f, typeOf(metric))
}

func typeOf(metric any) string {
	switch metric.(type) {
	case gometrics.Counter:
		return "counter"
	case gometrics.Histogram:
		return "summary"
	default:
		return "gauge"
	}
}

func writeSeries(text *strings.Builder, f family, labels string, metric any) {
	switch m := metric.(type) {
	case gometrics.Counter:
		writeSample(text, string(f), labels, float64(m.Count()))
	case gometrics.Gauge:
		writeSample(text, string(f), labels, float64(m.Value()))
	case gometrics.Histogram:
		writeSummary(text, f, labels, m.Snapshot())
	}
}

// writeSummary leaves out the sum, since the registry's histogram sums only its
// sample, and the quantiles as long as nothing was recorded.
func writeSummary(text *strings.Builder, f family, labels string, h gometrics.Histogram) {
	if h.Count() > 0 {
		for i, value := range h.Percentiles(quantiles) {
			quantile := label{name: labelQuantile, value: formatNumber(quantiles[i])}
			writeSample(text, string(f), labels+","+pairs([]label{quantile}), value/microsecondsPerSecond)
		}
	}
	writeSample(text, string(f)+"_count", labels, float64(h.Count()))
}

func writeSample(text *strings.Builder, name, labels string, value float64) {
	text.WriteString(name)
	if labels != "" {
		text.WriteString("{" + labels + "}")
	}
	text.WriteString(" " + formatNumber(value) + "\n")
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}
