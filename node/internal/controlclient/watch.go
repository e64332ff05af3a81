package controlclient

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// watchLoop keeps a watch stream of the replicated state open. It changes to
// another member when the leader changes.
func (i *incarnation) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		client, address, changed := i.s.group.watch()
		err := i.watch(ctx, client, changed)
		if ctx.Err() != nil {
			return
		}
		i.s.cfg.Log.Info().Err(err).Str("member", address).Msg("watch ended")
		if !sleep(ctx, i.retryBackoff()) {
			return
		}
	}
}

// watch applies the updates of one watch stream until the stream ends or
// changed is closed.
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
	// An error of Close has no consequences, because the context is cancelled.
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		i.apply(ctx, stream.Msg())
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return errors.New("control ended the watch stream")
}

// apply applies an update: first the request ids of moved partitions, then the
// table, then the release orders, which depend on the table.
func (i *incarnation) apply(ctx context.Context, u *wirev1.Update) {
	s := i.s
	for _, m := range u.GetMovedRequests() {
		s.cfg.Owner.Import(m.GetUpstream(), m.GetPartition(), m.GetEpoch(), recordsFromWire(m))
	}
	if !s.replaceTable(u) {
		return
	}
	for _, r := range u.GetReleases() {
		s.cfg.Owner.Release(context.WithoutCancel(ctx), r, i.releases.add)
	}
}

// replaceTable applies an update to the table. It returns false if the update
// is older than the table.
func (s *Session) replaceTable(u *wirev1.Update) bool {
	s.tableMu.Lock()
	defer s.tableMu.Unlock()
	old := s.cfg.View.Table()
	if u.GetIndex() < old.Index() {
		s.cfg.Log.Error().Uint64("index", u.GetIndex()).Uint64("inForce", old.Index()).
			Msg("update from control ignored: its state is older than the one in force")
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
	s.putInForce(t)
	return true
}

// putInForce replaces the table of the node. The caller holds s.tableMu.
func (s *Session) putInForce(t *routing.Table) {
	changed := t.Revision() != s.cfg.View.Table().Revision()
	i := s.current.Load()
	var self *wirev1.Node
	if i != nil {
		self = t.Node(i.number)
	}
	// SetTable wakes those that wait for what is recorded here.
	s.cfg.Backend.RecordStored(self.GetBackendServer())
	s.cfg.View.SetTable(s.cfg.Clock.Now(), t)
	if self != nil {
		s.cfg.Backend.SetOutOfService(t.Leaving(self))
	}
	s.cfg.Owner.TableChanged(t)
	if changed && i != nil {
		i.configure()
		wake(i.reportSoon)
	}
}

// configure applies the rules of the backend server's upstream to its admission
// control and connections, and the limits of the rules to the request ids.
func (i *incarnation) configure() {
	t := i.s.cfg.View.Table()
	u := t.Upstream(i.server.GetUpstream())
	if u == nil {
		u = &rules.Upstream{}
	}
	i.s.cfg.Backend.Configure(*u)
	i.s.cfg.Owner.Configure(t.Limits())
}

// recordsFromWire returns the request records of a moved partition.
func recordsFromWire(m *wirev1.MovedRequests) []outcome.Record {
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

// movedRequests returns the request records of a released partition for its
// next epoch.
func movedRequests(p *wirev1.ReleasedPartition, records []outcome.Record) *wirev1.MovedRequests {
	m := &wirev1.MovedRequests{Upstream: p.GetUpstream(), Partition: p.GetPartition(), Epoch: p.GetEpoch() + 1}
	for _, r := range records {
		m.Records = append(m.Records, &wirev1.RequestRecord{
			RequestId: r.ID, State: wirev1.RequestRecord_State(r.State), Status: int32(r.Response.Status),
			Header: r.Response.Header, Body: r.Response.Body, AgeMs: uint64(r.Age.Milliseconds()),
		})
	}
	return m
}
