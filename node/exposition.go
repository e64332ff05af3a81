package node

import (
	"fmt"
	"io"
	"maps"

	"github.com/jujubeknot/jujubeknot/node/internal/quota"
	"github.com/jujubeknot/jujubeknot/wire/exposition"
)

// microsPerSecond converts the latency histogram from microseconds to seconds.
const microsPerSecond = 1e6

// WriteMetrics writes the metrics of the node in the Prometheus text format. It
// is safe for concurrent use.
func (n *Node) WriteMetrics(w io.Writer) error {
	latency := n.metrics.Latency()
	h := exposition.Histogram{Name: "latency_seconds", Sum: latency.Mean * float64(latency.Count) / microsPerSecond}
	for _, b := range latency.Buckets {
		h.Buckets = append(h.Buckets, exposition.Bucket{UpperBound: float64(b.UpperBound) / microsPerSecond, Count: b.Count})
	}
	labels := exposition.LabelNames{"requests": "result", "organisations": "organisation_result", "attempts": "kind", "droppedCallers": "stage"}
	maps.Copy(labels, quota.MetricLabels())
	if err := exposition.Write(w, "jujubeknot_node", n.vars(), labels, h); err != nil {
		return fmt.Errorf("writing metrics of the node: %w", err)
	}
	return nil
}
