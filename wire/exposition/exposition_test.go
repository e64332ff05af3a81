package exposition_test

import (
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/jujubeknot/jujubeknot/wire/exposition"
)

// TestWrite guards against metrics that monitoring tools cannot parse, and against
// histograms with wrong cumulative counts.
func TestWrite(t *testing.T) {
	var b strings.Builder
	err := exposition.Write(&b, "jujubeknot_node", map[string]any{
		"inFlight": 3, "lease": map[string]any{"valid": true, "leftMs": 12}, "name": "a string",
		"requests": map[string]any{"ok": 7, "notRun/queueFull": 2},
	}, exposition.LabelNames{"requests": "result"}, exposition.Histogram{
		Name: "latency_seconds", Buckets: []exposition.Bucket{{UpperBound: 0.1, Count: 2}, {UpperBound: 0.2, Count: 3}}, Sum: 0.6,
	})
	if err != nil {
		t.Fatal(err)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(b.String()))
	if err != nil {
		t.Fatalf("parse metrics: %v in:\n%s", err, b.String())
	}
	for name, want := range map[string]float64{
		"jujubeknot_node_in_flight": 3, "jujubeknot_node_lease_valid": 1, "jujubeknot_node_lease_left_ms": 12,
	} {
		if got := families[name].GetMetric()[0].GetUntyped().GetValue(); got != want {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
	if n := len(families["jujubeknot_node_requests"].GetMetric()); n != 2 {
		t.Errorf("jujubeknot_node_requests: got %d values, want 2", n)
	}
	if h := families["jujubeknot_node_latency_seconds"].GetMetric()[0].GetHistogram(); h.GetSampleCount() != 5 || h.GetBucket()[1].GetCumulativeCount() != 5 {
		t.Errorf("got histogram %v, want 5 values in all and 5 up to the second bound", h)
	}
}
