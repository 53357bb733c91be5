package metrics

import (
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// Label names.
const (
	labelClass     = "class"
	labelReason    = "reason"
	labelTiming    = "timing"
	labelOrigin    = "origin"
	labelDirection = "direction"
	labelOperation = "operation"
	labelTable     = "table"
	labelService   = "service"
	labelFrom      = "from"
	labelTo        = "to"
	labelQuantile  = "quantile"
)

// label is a label name with its value.
type label struct {
	name  string
	value string
}

// Size and decay factor (alpha) of a histogram's exponentially decaying sample;
// go-metrics documents these values for a window of five minutes, as in the UNIX
// load average.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// seriesKey returns the registry key of a series: its family and its labels in
// the Prometheus text format.
func seriesKey(f family, labels ...label) string {
	if len(labels) == 0 {
		return string(f)
	}
	return string(f) + "{" + formatLabels(labels) + "}"
}

func formatLabels(labels []label) string {
	formatted := make([]string, 0, len(labels))
	for _, l := range labels {
		formatted = append(formatted, l.name+`="`+labelEscaper.Replace(l.value)+`"`)
	}
	return strings.Join(formatted, ",")
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// splitKey splits the result of seriesKey into the family and the formatted labels.
func splitKey(key string) (f family, labels string) {
	name, rest, _ := strings.Cut(key, "{")
	return family(name), strings.TrimSuffix(rest, "}")
}

func counter(registry gometrics.Registry, f family, labels ...label) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(seriesKey(f, labels...), registry)
}

func gauge(registry gometrics.Registry, f family, labels ...label) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(seriesKey(f, labels...), registry)
}

func histogram(registry gometrics.Registry, f family, labels ...label) gometrics.Histogram {
	sample := gometrics.NewExpDecaySample(sampleSize, sampleAlpha)
	return gometrics.GetOrRegisterHistogram(seriesKey(f, labels...), registry, sample)
}
