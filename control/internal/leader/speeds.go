package leader

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/placement"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// observeSpeed records the time per request of the backend server that a
// renewal reports.
func (l *Leader) observeSpeed(node *wirev1.Node, last *report, request *wirev1.RenewRequest, now time.Time) {
	if !l.config.WeightBySpeed || last == nil {
		return
	}
	l.speedsOf(node.GetBackendServer().GetUpstream()).Observe(now, node.GetIncarnation(),
		time.Duration(float64(request.GetServiceMs())*float64(time.Millisecond)),
		float64(request.GetRequestsPerSecond())*now.Sub(last.receivedAt).Seconds())
}

// speedsOf returns the speed estimator of the servers of an upstream.
func (l *Leader) speedsOf(upstream string) *placement.SpeedEstimator {
	s := l.speeds[upstream]
	if s == nil {
		s = &placement.SpeedEstimator{}
		l.speeds[upstream] = s
	}
	return s
}

// removeSpeeds removes the speeds of nodes that are no longer registered.
func (l *Leader) removeSpeeds(state *cluster.State) {
	for _, s := range l.speeds {
		s.Retain(func(incarnation uint64) bool { return state.Node(incarnation) != nil })
	}
}
