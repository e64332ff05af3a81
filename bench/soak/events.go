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
	// eventPause bounds the time between the starts of two faults, eventTime how
	// long one lasts: they overlap.
	eventPause = 1500 * time.Millisecond
	eventTime  = 4 * time.Second
	// leastTime lets a fault be noticed.
	leastTime = 200 * time.Millisecond
)

// event is one kind of fault. It disturbs the place with an index and returns when
// the fault is over.
type event struct {
	name string
	on   class
	run  func(w *world, index int, hold func()) error
}

// class is what a fault disturbs: a node with the server beside it, or a control
// member.
type class string

const (
	onNode    class = "node"
	onControl class = "control"
)

// count returns the number of places of a class.
func (w *world) count(c class) int {
	if c == onControl {
		return len(w.controls)
	}
	return len(w.nodes)
}

var events = []event{
	{"killNodeAndServer", onNode, func(w *world, i int, hold func()) error {
		w.servers[i].end(syscall.SIGKILL)
		w.nodes[i].end(syscall.SIGKILL)
		hold()
		if err := w.nodes[i].start(); err != nil {
			return err
		}
		return w.servers[i].start()
	}},
	{"killNode", onNode, restart(nodes, syscall.SIGKILL)},
	{"stopNode", onNode, restart(nodes, syscall.SIGTERM)},
	{"killServer", onNode, restart(servers, syscall.SIGKILL)},
	{"stopServer", onNode, restart(servers, syscall.SIGTERM)},
	{"killControl", onControl, restart(controls, syscall.SIGKILL)},
	{"stopControl", onControl, restart(controls, syscall.SIGTERM)},
	{"freezeNode", onNode, freeze(nodes)},
	{"freezeServer", onNode, func(w *world, i int, hold func()) error {
		p := w.servers[i]
		p.signal(syscall.SIGSTOP)
		from := time.Now()
		hold()
		w.noteFrozen(check.Frozen{Server: p.name, From: from, To: time.Now()})
		p.signal(syscall.SIGCONT)
		return nil
	}},
	{"freezeControl", onControl, freeze(controls)},
	{"hangUpNode", onNode, func(w *world, i int, hold func()) error {
		w.nodes[i].signal(syscall.SIGHUP)
		hold()
		return nil
	}},
	{"cutServer", onNode, proxied(toServers, func(p *faults.Proxy) error {
		p.Cut()
		return p.Refuse(true)
	})},
	{"resetServer", onNode, proxied(toServers, reset)},
	{"silenceServerUp", onNode, proxied(toServers, shape(faults.DirectionUp, faults.Shape{Silent: true}))},
	{"silenceServerDown", onNode, proxied(toServers, shape(faults.DirectionDown, faults.Shape{Silent: true}))},
	{"delayServer", onNode, proxied(toServers, shape(faults.DirectionDown, faults.Shape{Delay: 150 * time.Millisecond}))},
	{"resetCallers", onNode, proxied(toNodes, reset)},
	{"silenceCallers", onNode, proxied(toNodes, shape(faults.DirectionDown, faults.Shape{Silent: true}))},
	{"slowCallers", onNode, proxied(toNodes, shape(faults.DirectionUp, faults.Shape{BytesPerSecond: 200 << 10}))},
}

func nodes(w *world) []*process          { return w.nodes }
func servers(w *world) []*process        { return w.servers }
func controls(w *world) []*process       { return w.controls }
func toNodes(w *world) []*faults.Proxy   { return w.toNodes }
func toServers(w *world) []*faults.Proxy { return w.toServers }

func reset(p *faults.Proxy) error {
	p.Cut()
	return nil
}

func restart(of func(*world) []*process, signal syscall.Signal) func(*world, int, func()) error {
	return func(w *world, i int, hold func()) error {
		p := of(w)[i]
		p.end(signal)
		hold()
		return p.start()
	}
}

func freeze(of func(*world) []*process) func(*world, int, func()) error {
	return func(w *world, i int, hold func()) error {
		p := of(w)[i]
		p.signal(syscall.SIGSTOP)
		hold()
		p.signal(syscall.SIGCONT)
		return nil
	}
}

func proxied(of func(*world) []*faults.Proxy, disturb func(*faults.Proxy) error) func(*world, int, func()) error {
	return func(w *world, i int, hold func()) error {
		p := of(w)[i]
		if err := disturb(p); err != nil {
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

// disturb makes faults until the duration is over, and returns when all of them
// are. What a fault disturbs is left alone by others meanwhile, so that each
// process is in the state that its fault expects.
func (s *soak) disturb(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Duration)
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	var mu sync.Mutex
	busy := map[string]bool{}
	begun := time.Now()
	for ctx.Err() == nil {
		e := events[s.random.IntN(len(events))]
		index := s.random.IntN(s.world.count(e.on))
		lasts := leastTime + time.Duration(s.random.Int64N(int64(eventTime)))
		pause := time.Duration(s.random.Int64N(int64(eventPause)))
		place := fmt.Sprintf("%s %d", e.on, index)
		mu.Lock()
		taken := busy[place]
		busy[place] = true
		mu.Unlock()
		if !taken {
			fmt.Fprintf(s.config.Out, "%6.2f s %s %d for %v\n", time.Since(begun).Seconds(), e.name, index+1, lasts.Round(time.Millisecond))
			running.Go(func() {
				err := e.run(s.world, index, func() { wait(ctx, lasts) })
				if err != nil {
					fmt.Fprintf(s.config.Out, "%s %d: %v\n", e.name, index+1, err)
				}
				mu.Lock()
				defer mu.Unlock()
				delete(busy, place)
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
