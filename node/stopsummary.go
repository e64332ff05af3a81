package node

import (
	"expvar"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/wire/boottime"
)

// logStop runs a stop of the node. At its end it logs how long it took and the
// responses to callers since it began, by result, so that requests which the node
// gave up while a backend server ran them can be told from others.
func (n *Node) logStop(stop func()) {
	started, before, inFlight := boottime.Clock{}.Now(), counts(&n.metrics.Requests), n.metrics.InFlight.Load()
	stop()
	responses := zerolog.Dict()
	for result, total := range counts(&n.metrics.Requests) {
		if since := total - before[result]; since > 0 {
			responses = responses.Int64(result, since)
		}
	}
	n.cfg.Log.Info().Int64("tookMillis", boottime.Clock{}.Now().Sub(started).Milliseconds()).Int64("inFlightAtSignal", inFlight).
		Int64("inFlight", n.metrics.InFlight.Load()).Dict("responses", responses).Msg("requests of callers ended")
}

// counts returns the counters of a map of them by key.
func counts(m *expvar.Map) map[string]int64 {
	all := map[string]int64{}
	m.Do(func(v expvar.KeyValue) {
		if c, ok := v.Value.(*expvar.Int); ok {
			all[v.Key] = c.Value()
		}
	})
	return all
}
