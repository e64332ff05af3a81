package faults

import (
	"net"
	"sync"
	"time"
)

// pair is a connection of a client with the one to the target.
type pair struct {
	ends [directions]net.Conn // reading end of each direction
	done chan struct{}
	once sync.Once

	mu     sync.Mutex
	shapes [directions]Shape
	fixed  [directions]bool
	// left is the number of bytes that may still pass, -1 for no bound.
	left [directions]int64
	// changed is closed and replaced when a shape changes.
	changed chan struct{}
}

// chunk is a piece of data with the time at which it may arrive.
type chunk struct {
	data []byte
	at   time.Time
}

func newPair(client, target net.Conn) *pair {
	return &pair{
		ends: [directions]net.Conn{DirectionUp: client, DirectionDown: target},
		done: make(chan struct{}), changed: make(chan struct{}),
	}
}

func (c *pair) cut() {
	c.once.Do(func() {
		close(c.done)
		for _, e := range c.ends {
			// The connection is given up; there is nobody to tell.
			_ = e.Close()
		}
	})
}

func (c *pair) set(d Direction, s Shape) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fixed[d] {
		return
	}
	c.shapes[d] = s
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *pair) fix(d Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fixed[d] = true
}

func (c *pair) shape(d Direction) (Shape, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shapes[d], c.changed
}

// run forwards until both directions have ended or the pair is cut.
func (c *pair) run() {
	var all sync.WaitGroup
	for d := range directions {
		queue := make(chan chunk, queueChunks)
		all.Go(func() { c.read(d, queue) })
		all.Go(func() { c.write(d, queue) })
	}
	all.Wait()
	c.cut()
}

// read takes bytes from the sender and notes when they may arrive.
func (c *pair) read(d Direction, queue chan<- chunk) {
	defer close(queue)
	for {
		data := make([]byte, chunkBytes)
		n, err := c.ends[d].Read(data)
		if n > 0 {
			s, _ := c.shape(d)
			select {
			case queue <- chunk{data: data[:n], at: time.Now().Add(s.Delay)}:
			case <-c.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write passes bytes on to the receiver.
func (c *pair) write(d Direction, queue <-chan chunk) {
	to := c.ends[1-d]
	for ch := range queue {
		if !c.pause(time.Until(ch.at)) || !c.open(d) {
			return
		}
		data, last := c.allowed(d, ch.data)
		if !c.send(d, to, data) || last {
			c.cut()
			return
		}
	}
	if !c.open(d) {
		return
	}
	// The sender has ended its direction; the other one may go on.
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// open waits while the direction is silent. It reports false once the pair is
// cut.
func (c *pair) open(d Direction) bool {
	for {
		s, changed := c.shape(d)
		if !s.Silent {
			return true
		}
		select {
		case <-changed:
		case <-c.done:
			return false
		}
	}
}

// allowed returns the part of the data that may still pass, and whether it is
// the last.
func (c *pair) allowed(d Direction, data []byte) (part []byte, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left[d] < 0 {
		return data, false
	}
	if int64(len(data)) >= c.left[d] {
		data, last = data[:c.left[d]], true
	}
	c.left[d] -= int64(len(data))
	return data, last
}

// send writes data at the throughput of the shape.
func (c *pair) send(d Direction, to net.Conn, data []byte) bool {
	for len(data) > 0 {
		s, _ := c.shape(d)
		n := len(data)
		if s.BytesPerSecond > 0 {
			// Pieces of 10 ms keep the rate even.
			n = min(n, max(s.BytesPerSecond/100, 1))
			if !c.pause(time.Duration(float64(n) / float64(s.BytesPerSecond) * float64(time.Second))) {
				return false
			}
		}
		if _, err := to.Write(data[:n]); err != nil {
			return false
		}
		data = data[n:]
	}
	return true
}

// pause reports false once the pair is cut.
func (c *pair) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}
