package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/load"
	"github.com/jujubeknot/jujubeknot/bench/procfs"
)

const (
	streamBytes   = 100 << 20
	streamTimeout = time.Minute
	// streamIdle is the time without requests before the memory of the idle nodes
	// is measured.
	streamIdle  = 2 * time.Second
	streamRules = `upstream files keyed partitions=256 slots=16 connections=110 # laboratory: large files
route /files/ to files key=segment:2 timeout=60s # laboratory: large files
`
)

// streamParallel are the measured numbers of concurrent transfers.
var streamParallel = []int{1, 4, 16}

// stream measures the memory of two nodes while large bodies are streamed through
// them.
func stream(ctx context.Context, e Env) (*Report, error) {
	table := Table{
		Title:   "Bodies of 100 MiB through two nodes, each a process with GOMAXPROCS=1; resident memory idle and at the peak of the transfers",
		Columns: []string{"direction", "at a time", "complete", "failed", "time", "entry idle", "entry peak", "owner idle", "owner peak"},
	}
	violations := newViolations()
	for _, direction := range []string{"upload", "download"} {
		server := backend.Config{Upstream: "files", Slots: 16, ChecksFences: true}
		if direction == "download" {
			server.ResponseBytes = streamBytes
		}
		err := e.withProcesses(ctx, server, streamRules, func(s nodePair) error {
			var in check.Input
			for _, n := range streamParallel {
				e.printProgress("stream: %s, %d at a time", direction, n)
				operations, err := s.transfers(ctx, &table, direction, n)
				if err != nil {
					return err
				}
				in.Operations = append(in.Operations, operations...)
			}
			in.Entries, in.Dropped = s.records.Entries()
			violations.addViolations(direction, in)
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", direction, err)
		}
	}
	return &Report{Tables: []Table{table, violations}}, nil
}

// transfers runs transfers concurrently, appends a row and returns one operation
// for each transfer. The operations have no outcome: they count the transfers in
// the table of violations.
func (s nodePair) transfers(ctx context.Context, t *Table, direction string, parallel int) ([]load.Operation, error) {
	time.Sleep(streamIdle)
	var memory []any
	processes := []*Process{s.entry, s.owner}
	var idle [2]procfs.Usage
	for i, n := range processes {
		var err error
		if idle[i], err = procfs.ReadUsage(n.PID); err != nil {
			return nil, err
		}
		if err := n.resetPeak(); err != nil {
			return nil, err
		}
	}
	start := time.Now()
	failures := make(chan error, parallel)
	operations := make([]load.Operation, parallel)
	var running sync.WaitGroup
	for i := range parallel {
		running.Go(func() {
			if err := transfer(ctx, s.entry.Callers, direction, fmt.Sprintf("%s-%d-%d", direction, parallel, i)); err != nil {
				failures <- err
			}
		})
	}
	running.Wait()
	elapsed := time.Since(start)
	for i, n := range processes {
		busy, err := procfs.ReadUsage(n.PID)
		if err != nil {
			return nil, err
		}
		memory = append(memory, mebibytes(idle[i].Resident), mebibytes(busy.Peak))
	}
	failed := len(failures)
	if failed > 0 {
		t.Title += fmt.Sprintf("; first failure of %s, %d at a time: %v", direction, parallel, <-failures)
	}
	t.addRow(append([]any{direction, parallel, parallel - failed, failed, elapsed}, memory...)...)
	return operations, nil
}

// transfer uploads or downloads one body and checks that all of it arrived.
func transfer(ctx context.Context, target, direction, operation string) error {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	method, size := http.MethodGet, int64(0)
	if direction == "upload" {
		method, size = http.MethodPost, streamBytes
	}
	digest := xxhash.New()
	body := io.TeeReader(io.LimitReader(pattern{}, size), digest)
	q, err := http.NewRequestWithContext(ctx, method, "http://"+target+"/files/"+operation, body)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	q.ContentLength = size
	if size == 0 {
		q.Body = http.NoBody
	}
	q.Header.Set(backend.HeaderOperation, operation)
	q.Header.Set(backend.HeaderAttempt, "1")
	q.Header.Set(backend.HeaderKey, operation)
	q.Header.Set(backend.HeaderIdempotent, strconv.FormatBool(size == 0))
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer r.Body.Close()
	arrived, err := io.Copy(io.Discard, r.Body)
	switch sum := strconv.FormatUint(digest.Sum64(), 16); {
	case err != nil:
		return fmt.Errorf("read response body: %w", err)
	case r.StatusCode != http.StatusOK:
		return errors.Errorf("response has status %d, expected 200", r.StatusCode)
	case size == 0 && arrived != streamBytes:
		return errors.Errorf("response body has %d bytes, expected %d", arrived, streamBytes)
	case r.Header.Get(backend.HeaderBodySum) != sum:
		return errors.Errorf("request body arrived with checksum %s, expected %s", r.Header.Get(backend.HeaderBodySum), sum)
	}
	return nil
}

// pattern is an infinite body of the repeated bytes 0 to 255.
type pattern struct{}

// Read fills p. Neighbouring bytes differ.
func (pattern) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(i)
	}
	return len(p), nil
}
