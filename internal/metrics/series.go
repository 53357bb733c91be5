package metrics

import (
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// Names of labels.
const (
	labelClass     = "class"
	labelReason    = "reason"
	labelTiming    = "timing"
	labelDirection = "direction"
	labelOperation = "operation"
	labelTable     = "table"
	labelQuantile  = "quantile"
)

// label is one name and value that tells series of a family apart.
type label struct {
	name  string
	value string
}

// Size and bias of the sample behind a histogram; the values are those that
// go-metrics documents for load averages of five minutes.
const (
	sampleSize = 1028
	sampleBias = 0.015
)

// key is a series' name in the registry: its family and its labels as the
// text format writes them.
func key(f family, labels ...label) string {
	if len(labels) == 0 {
		return string(f)
	}
	return string(f) + "{" + pairs(labels) + "}"
}

func pairs(labels []label) string {
	written := make([]string, 0, len(labels))
	for _, l := range labels {
		written = append(written, l.name+`="`+escaper.Replace(l.value)+`"`)
	}
	return strings.Join(written, ",")
}

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// split undoes key.
func split(key string) (f family, labels string) {
	name, rest, _ := strings.Cut(key, "{")
	return family(name), strings.TrimSuffix(rest, "}")
}

func counter(registry gometrics.Registry, f family, labels ...label) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(key(f, labels...), registry)
}

func gauge(registry gometrics.Registry, f family, labels ...label) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(key(f, labels...), registry)
}

func histogram(registry gometrics.Registry, f family, labels ...label) gometrics.Histogram {
	sample := gometrics.NewExpDecaySample(sampleSize, sampleBias)
	return gometrics.GetOrRegisterHistogram(key(f, labels...), registry, sample)
}
