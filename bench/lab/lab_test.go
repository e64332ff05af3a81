package lab_test

import (
	"context"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/lab"
	"github.com/jujubeknot/jujubeknot/bench/load"
)

// smallDeployment returns a deployment with a keyed and an unkeyed upstream.
func smallDeployment() lab.Deployment {
	server := backend.Config{
		Slots: 6, Connections: 20, ChecksFences: true, ConnectionCost: -1,
		Service: backend.Service{Shape: backend.ShapeConstant, Mean: time.Millisecond},
	}
	return lab.Deployment{
		Name: "small", Zones: []string{"one", "two"},
		Upstreams: []lab.Upstream{
			{Name: "applications", Keyed: true, Servers: 3, Server: server},
			{Name: "documents", Servers: 2, Server: server},
		},
		Rules: `upstream applications keyed partitions=64 slots=6 connections=20 # test: keyed
upstream documents unkeyed slots=6 connections=20 # test: no keys
route /applications/ to applications key=segment:2 timeout=5s # test: keyed
route /documents/ to documents timeout=5s # test: no keys
`,
	}
}

// TestGuaranteesHoldDuringFailures guards against parts that work alone but
// violate a guarantee together. While load runs, a server with its node and then
// the control leader are killed, a zone is taken out and returned, and the server
// is started again.
func TestGuaranteesHoldDuringFailures(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	l, err := lab.Start(lab.Config{Folder: t.TempDir(), Deployment: smallDeployment(), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := l.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	type loadResult struct {
		result *load.Result
		err    error
	}
	done := make(chan loadResult, 1)
	go func() {
		result, err := load.Run(ctx, load.Config{
			Seed: 2, Targets: l.Targets(), Rate: 200, Duration: 5 * time.Second, Keys: 200,
			Classes: []load.Class{
				{Name: "read", Weight: 2, Path: "/applications/{key}", Resends: 5, Timeout: 10 * time.Second},
				{Name: "submission", Weight: 1, Method: "POST", Path: "/applications/{key}", Bytes: 512, IdempotencyKey: 0.5, Resends: 5, Timeout: 10 * time.Second},
				{Name: "upload", Weight: 1, Method: "POST", Path: "/documents/{key}", Bytes: 100 << 10, IdempotencyKey: 0.5, Resends: 5, Timeout: 10 * time.Second},
			},
		})
		done <- loadResult{result, err}
	}()
	for _, step := range []func() error{
		func() error { l.KillServer(0); return nil },
		func() error {
			leader, err := l.Leader(ctx)
			if err == nil {
				l.KillMember(leader)
			}
			return err
		},
		func() error { _, err := l.SetZone(ctx, "two", true); return err },
		func() error { _, err := l.SetZone(ctx, "two", false); return err },
		func() error { return l.StartServer(0) },
	} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	r := <-done
	if r.err != nil {
		t.Fatal(r.err)
	}
	if err := l.WaitSettled(ctx); err != nil {
		t.Error(err)
	}
	entries, dropped := l.Records().Entries()
	violations := check.Check(check.Input{Entries: entries, Dropped: dropped, Operations: r.result.Operations})
	for _, v := range violations {
		t.Errorf("violation %s: %s", v.Kind, v.Detail)
	}
	if r.result.Counts[load.OutcomeOK] == 0 {
		t.Error("completed requests: got 0, want at least 1")
	}
}
