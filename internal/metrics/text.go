package metrics

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// quantiles lists the quantiles exposed for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// microsecondsPerSecond converts the recorded microseconds to the exposed seconds.
const microsecondsPerSecond = 1e6

// writeText writes the registry's series in the Prometheus text format, sorted by
// family and labels.
func writeText(out io.Writer, registry gometrics.Registry) error {
	series := make(map[string]any)
	registry.Each(func(key string, metric any) { series[key] = metric })
	var text strings.Builder
	var last family
	for _, key := range sortedKeys(series) {
		f, labels := splitKey(key)
		if f != last {
			writeHeader(&text, f, series[key])
			last = f
		}
		writeSeries(&text, f, labels, series[key])
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// sortedKeys returns the keys sorted by family first, since the text format
// requires the series of a family to be contiguous.
func sortedKeys(series map[string]any) []string {
	keys := make([]string, 0, len(series))
	for key := range series {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		familyA, labelsA := splitKey(a)
		familyB, labelsB := splitKey(b)
		if familyA != familyB {
			return strings.Compare(string(familyA), string(familyB))
		}
		return strings.Compare(labelsA, labelsB)
	})
	return keys
}

func writeHeader(text *strings.Builder, f family, metric any) {
	fmt.Fprintf(text, "# HELP %s %s\n", f, helpTexts[f])
	fmt.Fprintf(text, "# TYPE %s %s\n", f, metricType(metric))
}

func metricType(metric any) string {
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

// writeSummary writes the quantiles, unless nothing was recorded, and the count. It
// omits the sum, since the registry's histogram sums only its sample.
func writeSummary(text *strings.Builder, f family, labels string, h gometrics.Histogram) {
	if h.Count() > 0 {
		for i, value := range h.Percentiles(quantiles) {
			quantile := label{name: labelQuantile, value: formatNumber(quantiles[i])}
			writeSample(text, string(f), labels+","+formatLabels([]label{quantile}), value/microsecondsPerSecond)
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
