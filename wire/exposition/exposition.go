// Package exposition writes metrics in the Prometheus text exposition format.
package exposition

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"google.golang.org/protobuf/proto"
)

// Histogram is a histogram whose bucket counts are not cumulative. Its buckets are
// in ascending order of their upper bounds.
type Histogram struct {
	// Name is the name of the metric with its unit and without the prefix.
	Name    string
	Buckets []Bucket
	// Sum is the sum of all values.
	Sum float64
}

// Bucket holds the number of values that are above the UpperBound of the previous
// bucket and not above its own.
type Bucket struct {
	UpperBound float64
	Count      int64
}

// LabelNames maps the key of a JSON object to the name of a label. The members of
// such an object become values of one metric, and the label holds their keys.
type LabelNames map[string]string

// Write marshals object to JSON and writes its numbers and booleans as metrics,
// sorted by name. The name of a metric is the prefix and the keys down to the
// member, in snake case and joined by underscores. Lists and strings are left out.
// Write returns an error if object cannot be marshalled to a JSON object or if
// writing fails.
func Write(w io.Writer, prefix string, object any, labelNames LabelNames, histograms ...Histogram) error {
	data, err := json.Marshal(object)
	if err != nil {
		return fmt.Errorf("marshal metrics: %w", err)
	}
	var members map[string]any
	if err := json.Unmarshal(data, &members); err != nil {
		return fmt.Errorf("unmarshal metrics: %w", err)
	}
	families := map[string]*dto.MetricFamily{}
	addMetrics(families, prefix, members, labelNames)
	for _, h := range histograms {
		name := prefix + "_" + h.Name
		families[name] = h.family(name)
	}
	names := make([]string, 0, len(families))
	for name := range families {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if _, err := expfmt.MetricFamilyToText(w, families[name]); err != nil {
			return fmt.Errorf("write metric %s: %w", name, err)
		}
	}
	return nil
}

func addMetrics(families map[string]*dto.MetricFamily, prefix string, members map[string]any, labelNames LabelNames) {
	for key, value := range members {
		name := prefix + "_" + snakeCase(key)
		if label, ok := labelNames[key]; ok {
			addLabelledMetrics(families, name, label, value)
			continue
		}
		switch v := value.(type) {
		case map[string]any:
			addMetrics(families, name, v, labelNames)
		case float64:
			addMetric(families, name, v)
		case bool:
			addMetric(families, name, map[bool]float64{true: 1}[v])
		}
	}
}

func addLabelledMetrics(families map[string]*dto.MetricFamily, name, label string, value any) {
	members, _ := value.(map[string]any)
	keys := make([]string, 0, len(members))
	for key := range members {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if v, ok := members[key].(float64); ok {
			addMetric(families, name, v, &dto.LabelPair{Name: proto.String(label), Value: proto.String(key)})
		}
	}
}

func addMetric(families map[string]*dto.MetricFamily, name string, value float64, labels ...*dto.LabelPair) {
	f := families[name]
	if f == nil {
		f = &dto.MetricFamily{Name: proto.String(name), Type: dto.MetricType_UNTYPED.Enum()}
		families[name] = f
	}
	f.Metric = append(f.Metric, &dto.Metric{Label: labels, Untyped: &dto.Untyped{Value: proto.Float64(value)}})
}

func (h Histogram) family(name string) *dto.MetricFamily {
	histogram := &dto.Histogram{SampleSum: proto.Float64(h.Sum)}
	count := uint64(0)
	for _, b := range h.Buckets {
		count += uint64(b.Count)
		histogram.Bucket = append(histogram.Bucket, &dto.Bucket{CumulativeCount: proto.Uint64(count), UpperBound: proto.Float64(b.UpperBound)})
	}
	histogram.SampleCount = proto.Uint64(count)
	histogram.Bucket = append(histogram.Bucket, &dto.Bucket{CumulativeCount: proto.Uint64(count), UpperBound: proto.Float64(math.Inf(1))})
	return &dto.MetricFamily{Name: proto.String(name), Type: dto.MetricType_HISTOGRAM.Enum(), Metric: []*dto.Metric{{Histogram: histogram}}}
}

// snakeCase converts a JSON key in camel case to snake case. It returns "invalid"
// if the result is not a valid metric name.
func snakeCase(name string) string {
	var b strings.Builder
	lower := false
	for _, r := range name {
		upper := r >= 'A' && r <= 'Z'
		if upper && lower {
			b.WriteByte('_')
		}
		lower = !upper
		b.WriteRune(r)
	}
	text := strings.ToLower(b.String())
	if !model.LegacyValidation.IsValidMetricName(text) {
		return "invalid"
	}
	return text
}
