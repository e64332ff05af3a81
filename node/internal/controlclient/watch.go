package controlclient

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/internal/owner"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

const (
	// reportInterval is the time between two reports of the same release.
	reportInterval = 200 * time.Millisecond
	reportTimeout  = time.Second
)

// watchLoop follows the replicated state. It changes to another member when
// the leader changes.
func (i *incarnation) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		client, address, changed := i.s.group.watch()
		err := i.watch(ctx, client, changed)
		if ctx.Err() != nil {
			return
		}
		i.s.cfg.Log.Info().Err(err).Str("member", address).Msg("watch ended")
		if !sleep(ctx, i.retryAfter()) {
			return
		}
	}
}

func (i *incarnation) watch(ctx context.Context, client wirev1connect.ControlClient, changed <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-stop:
		}
	}()
	stream, err := client.Watch(ctx, connect.NewRequest(&wirev1.WatchRequest{
		Incarnation: i.number, FromIndex: i.s.cfg.View.Table().Index(),
	}))
	if err != nil {
		return err
	}
	// Closing cannot fail in a way that matters: the context is cancelled.
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		i.apply(ctx, stream.Msg())
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return errors.New("control ended the stream")
}

// apply puts an update in force: first the request ids that came with it, then
// the table, then the orders that rest on the table.
func (i *incarnation) apply(ctx context.Context, u *wirev1.Update) {
	s := i.s
	for _, m := range u.GetMovedRequests() {
		s.cfg.Owner.Import(m.GetUpstream(), m.GetPartition(), m.GetEpoch(), recordsOf(m))
	}
	if !s.replaceTable(ctx, u) {
		return
	}
	for _, r := range u.GetReleases() {
		s.cfg.Owner.Release(context.WithoutCancel(ctx), r, func(r owner.Release) {
			select {
			case i.reports <- r:
			case <-i.ended:
			}
		})
	}
}

// replaceTable puts an update in force and reports whether it is not an old one.
func (s *Session) replaceTable(ctx context.Context, u *wirev1.Update) bool {
	s.tables.Lock()
	defer s.tables.Unlock()
	old := s.cfg.View.Table()
	if u.GetIndex() < old.Index() {
		s.cfg.Log.Error().Uint64("index", u.GetIndex()).Uint64("inForce", old.Index()).
			Msg("control sent an older state than the one in force; it is ignored")
		return false
	}
	t, err := old.With(u)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("rules cannot be read; the earlier revision stays in force")
	}
	s.cfg.View.RecordConfirmation(s.cfg.Clock.Now())
	if t.Revision() != old.Revision() {
		s.cfg.Log.Info().Uint64("rulesRevision", t.Revision()).Uint64("index", t.Index()).Msg("rules in force")
	}
	s.putInForce(ctx, t)
	return true
}

// putInForce makes a table that of the node. The lock of tables is held.
func (s *Session) putInForce(ctx context.Context, t *routing.Table) {
	changed := t.Revision() != s.cfg.View.Table().Revision()
	s.cfg.View.SetTable(s.cfg.Clock.Now(), t)
	i := s.current.Load()
	if i != nil {
		if self := t.Node(i.number); self != nil {
			s.cfg.Backend.SetOutOfService(t.Leaving(self))
		}
	}
	s.cfg.Owner.TableChanged(context.WithoutCancel(ctx), t)
	if changed && i != nil {
		i.configure()
		wake(i.together)
	}
}

// configure applies the rules of the backend server's upstream to its guard
// and connections, and those for request ids.
func (i *incarnation) configure() {
	t := i.s.cfg.View.Table()
	u := t.Upstream(i.server.GetUpstream())
	if u == nil {
		u = &rules.Upstream{}
	}
	i.s.cfg.Backend.Configure(*u)
	i.s.cfg.Owner.Configure(t.Limits())
}

func recordsOf(m *wirev1.MovedRequests) []outcome.Record {
	records := make([]outcome.Record, 0, len(m.GetRecords()))
	for _, r := range m.GetRecords() {
		records = append(records, outcome.Record{
			ID: r.GetRequestId(), Upstream: m.GetUpstream(), Partition: m.GetPartition(),
			State: outcome.RecordState(r.GetState()), Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
			Response: outcome.Response{Status: int(r.GetStatus()), Header: r.GetHeader(), Body: r.GetBody()},
		})
	}
	return records
}

func movedOf(p *wirev1.ReleasedPartition, records []outcome.Record) *wirev1.MovedRequests {
	m := &wirev1.MovedRequests{Upstream: p.GetUpstream(), Partition: p.GetPartition(), Epoch: p.GetEpoch() + 1}
	for _, r := range records {
		m.Records = append(m.Records, &wirev1.RequestRecord{
			RequestId: r.ID, State: wirev1.RequestRecord_State(r.State), Status: int32(r.Response.Status),
			Header: r.Response.Header, Body: r.Response.Body, AgeMs: uint64(r.Age.Milliseconds()),
		})
	}
	return m
}

// reportLoop reports releases at once, and repeats those that the table does
// not show yet, because the report or the leader may have been lost.
func (i *incarnation) reportLoop(ctx context.Context) {
	var putOff []*wirev1.ReleasedPartition
	// repeat fires while there is something to repeat.
	var repeat <-chan time.Time
	for {
		var fresh []owner.Release
		select {
		case <-ctx.Done():
			return
		case r := <-i.reports:
			fresh = append(fresh, r)
		case <-repeat:
		}
		repeat = nil
		for len(i.reports) > 0 {
			fresh = append(fresh, <-i.reports)
		}
		request := &wirev1.ReleasedRequest{Incarnation: i.number, Partitions: putOff}
		for _, r := range fresh {
			if r.Partition.GetPutOff() {
				request.Partitions = append(request.Partitions, r.Partition)
			}
		}
		putOff = request.Partitions
		for _, p := range i.s.cfg.Owner.Released(i.s.cfg.View.Table()) {
			request.Partitions = append(request.Partitions, p)
			request.MovedRequests = append(request.MovedRequests, movedOf(p, i.s.cfg.Owner.Records(p)))
		}
		if len(request.Partitions) == 0 {
			continue
		}
		repeat = time.After(reportInterval)
		if _, err := call(ctx, i.s, reportTimeout, request, wirev1connect.ControlClient.Released); err != nil {
			i.s.cfg.Log.Warn().Err(err).Int("partitions", len(request.Partitions)).Msg("report of releases failed")
			continue
		}
		putOff = nil
	}
}
