// Package exposition writes figures in the text format that monitoring tools
// read.
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

// Histogram is a histogram whose bars are not cumulative.
type Histogram struct {
	// Name without the prefix, with its unit.
	Name    string
	Buckets []Bucket
	// Sum of all values.
	Sum float64
}

// Bucket counts the values up to a bound and above that of the bar before.
type Bucket struct {
	UpperBound float64
	Count      int64
}

// LabelNames names objects whose members are values of one metric, and the label
// that tells them apart.
type LabelNames map[string]string

// Write writes the numbers and truth values of an object in JSON as metrics. The
// names of nested members are joined by underscores after the prefix; lists and
// texts are left out. The error is that of the object or the writer.
func Write(w io.Writer, prefix string, object any, labelled LabelNames, histograms ...Histogram) error {
	data, err := json.Marshal(object)
	if err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	var members map[string]any
	if err := json.Unmarshal(data, &members); err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	families := map[string]*dto.MetricFamily{}
	flatten(families, prefix, members, labelled)
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
			return fmt.Errorf("write %s: %w", name, err)
		}
	}
	return nil
}

func flatten(families map[string]*dto.MetricFamily, prefix string, members map[string]any, labelled LabelNames) {
	for key, value := range members {
		name := prefix + "_" + snake(key)
		if label, ok := labelled[key]; ok {
			addLabelled(families, name, label, value)
			continue
		}
		switch v := value.(type) {
		case map[string]any:
			flatten(families, name, v, labelled)
		case float64:
			add(families, name, v)
		case bool:
			add(families, name, map[bool]float64{true: 1}[v])
		}
	}
}

func addLabelled(families map[string]*dto.MetricFamily, name, label string, value any) {
	members, _ := value.(map[string]any)
	keys := make([]string, 0, len(members))
	for key := range members {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if v, ok := members[key].(float64); ok {
			add(families, name, v, &dto.LabelPair{Name: proto.String(label), Value: proto.String(key)})
		}
	}
}

func add(families map[string]*dto.MetricFamily, name string, value float64, labels ...*dto.LabelPair) {
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

// snake turns camel case into the form of metric names.
func snake(name string) string {
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
