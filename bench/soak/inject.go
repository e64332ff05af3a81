package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/faults"
)

const (
	// maxFaultInterval bounds the random time between the starts of two faults. It
	// is shorter than most faults, so that faults overlap.
	maxFaultInterval = 1500 * time.Millisecond
	// maxExtraDuration bounds the random part of the duration of a fault.
	maxExtraDuration = 4 * time.Second
	// minFaultDuration is the shortest duration of a fault. It leaves the processes
	// time to notice the fault.
	minFaultDuration = 200 * time.Millisecond
)

// faultKind is one kind of fault.
type faultKind struct {
	name string
	on   targetKind
	// run injects the fault into the target with an index, calls hold, which
	// returns after the duration of the fault, and then ends the fault.
	run func(d *deployment, index int, hold func()) error
}

// targetKind is what a fault affects: a node with its backend server, or a control
// member.
type targetKind string

const (
	onNode    targetKind = "node"
	onControl targetKind = "control"
)

// count returns the number of targets of a kind.
func (d *deployment) count(k targetKind) int {
	if k == onControl {
		return len(d.controls)
	}
	return len(d.nodes)
}

var faultKinds = []faultKind{
	{"killNodeAndServer", onNode, func(d *deployment, i int, hold func()) error {
		d.servers[i].terminate(syscall.SIGKILL)
		d.nodes[i].terminate(syscall.SIGKILL)
		hold()
		if err := d.nodes[i].start(); err != nil {
			return err
		}
		return d.servers[i].start()
	}},
	{"killNode", onNode, restart(nodes, syscall.SIGKILL)},
	{"stopNode", onNode, restart(nodes, syscall.SIGTERM)},
	{"killServer", onNode, restart(servers, syscall.SIGKILL)},
	{"stopServer", onNode, restart(servers, syscall.SIGTERM)},
	{"killControl", onControl, restart(controls, syscall.SIGKILL)},
	{"stopControl", onControl, restart(controls, syscall.SIGTERM)},
	{"freezeNode", onNode, freeze(nodes)},
	{"freezeServer", onNode, func(d *deployment, i int, hold func()) error {
		p := d.servers[i]
		p.signal(syscall.SIGSTOP)
		from := time.Now()
		hold()
		d.recordFrozen(check.Frozen{Server: p.name, From: from, To: time.Now()})
		p.signal(syscall.SIGCONT)
		return nil
	}},
	{"freezeControl", onControl, freeze(controls)},
	{"hangUpNode", onNode, func(d *deployment, i int, hold func()) error {
		d.nodes[i].signal(syscall.SIGHUP)
		hold()
		return nil
	}},
	{"cutServer", onNode, withProxyFault(serverProxies, func(p *faults.Proxy) error {
		p.Cut()
		return p.Refuse(true)
	})},
	{"resetServer", onNode, withProxyFault(serverProxies, reset)},
	{"silenceServerUp", onNode, withProxyFault(serverProxies, shape(faults.DirectionUp, faults.Shape{Silent: true}))},
	{"silenceServerDown", onNode, withProxyFault(serverProxies, shape(faults.DirectionDown, faults.Shape{Silent: true}))},
	{"delayServer", onNode, withProxyFault(serverProxies, shape(faults.DirectionDown, faults.Shape{Delay: 150 * time.Millisecond}))},
	{"resetCallers", onNode, withProxyFault(nodeProxies, reset)},
	{"silenceCallers", onNode, withProxyFault(nodeProxies, shape(faults.DirectionDown, faults.Shape{Silent: true}))},
	{"slowCallers", onNode, withProxyFault(nodeProxies, shape(faults.DirectionUp, faults.Shape{BytesPerSecond: 200 << 10}))},
}

func nodes(d *deployment) []*process              { return d.nodes }
func servers(d *deployment) []*process            { return d.servers }
func controls(d *deployment) []*process           { return d.controls }
func nodeProxies(d *deployment) []*faults.Proxy   { return d.nodeProxies }
func serverProxies(d *deployment) []*faults.Proxy { return d.serverProxies }

func reset(p *faults.Proxy) error {
	p.Cut()
	return nil
}

func restart(of func(*deployment) []*process, signal syscall.Signal) func(*deployment, int, func()) error {
	return func(d *deployment, i int, hold func()) error {
		p := of(d)[i]
		p.terminate(signal)
		hold()
		return p.start()
	}
}

func freeze(of func(*deployment) []*process) func(*deployment, int, func()) error {
	return func(d *deployment, i int, hold func()) error {
		p := of(d)[i]
		p.signal(syscall.SIGSTOP)
		hold()
		p.signal(syscall.SIGCONT)
		return nil
	}
}

func withProxyFault(of func(*deployment) []*faults.Proxy, inject func(*faults.Proxy) error) func(*deployment, int, func()) error {
	return func(d *deployment, i int, hold func()) error {
		p := of(d)[i]
		if err := inject(p); err != nil {
			return fmt.Errorf("proxy: %w", err)
		}
		hold()
		p.Heal()
		if err := p.Refuse(false); err != nil {
			return fmt.Errorf("proxy: %w", err)
		}
		return nil
	}
}

func shape(d faults.Direction, s faults.Shape) func(*faults.Proxy) error {
	return func(p *faults.Proxy) error {
		p.Set(d, s)
		return nil
	}
}

// injectFaults injects random faults until the duration of the run is over, and
// returns when all of them have ended. A target has at most one fault at a time,
// so that its processes are in the state that the fault expects.
func (s *soak) injectFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Duration)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	var mu sync.Mutex
	busy := map[string]bool{}
	started := time.Now()
	for ctx.Err() == nil {
		k := faultKinds[s.random.IntN(len(faultKinds))]
		index := s.random.IntN(s.deployment.count(k.on))
		duration := minFaultDuration + time.Duration(s.random.Int64N(int64(maxExtraDuration)))
		pause := time.Duration(s.random.Int64N(int64(maxFaultInterval)))
		target := fmt.Sprintf("%s %d", k.on, index)
		mu.Lock()
		inUse := busy[target]
		busy[target] = true
		mu.Unlock()
		if !inUse {
			fmt.Fprintf(s.config.Out, "%6.2f s %s %d for %v\n", time.Since(started).Seconds(), k.name, index+1, duration.Round(time.Millisecond))
			group.Go(func() {
				err := k.run(s.deployment, index, func() { wait(ctx, duration) })
				if err != nil {
					fmt.Fprintf(s.config.Out, "%s %d: %v\n", k.name, index+1, err)
				}
				mu.Lock()
				defer mu.Unlock()
				delete(busy, target)
			})
		}
		wait(ctx, pause)
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
