package faults

import (
	"net"
	"sync"
	"time"
)

// pair is a connection of a client and the connection to the target that it is
// forwarded to.
type pair struct {
	// ends has the connection that each direction reads from.
	ends [directions]net.Conn
	// done is closed when the pair is cut.
	done chan struct{}
	once sync.Once

	mu     sync.Mutex
	shapes [directions]Shape
	// fixed is true for directions whose shape cannot change any more.
	fixed [directions]bool
	// left is the number of bytes that may still be forwarded before the pair is
	// cut, -1 for no limit.
	left [directions]int64
	// changed is closed and replaced whenever a shape changes.
	changed chan struct{}
}

// chunk is a piece of data with the earliest time to forward it.
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

// cut closes both connections.
func (c *pair) cut() {
	c.once.Do(func() {
		close(c.done)
		for _, e := range c.ends {
			// The connection is discarded, so an error does not matter.
			_ = e.Close()
		}
	})
}

// set changes the shape of a direction unless it is fixed.
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

// fix prevents further changes of the shape of a direction.
func (c *pair) fix(d Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fixed[d] = true
}

// shape returns the shape of a direction, and a channel that is closed when a
// shape changes.
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

// read receives bytes from the sender and queues them with their delay.
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

// write forwards queued bytes to the receiver. If the sender has closed its
// direction, write closes it at the receiver too.
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
	// The sender has closed its direction. The other direction may continue.
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// open waits while the direction is silent. It returns false if the pair is cut
// meanwhile.
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

// allowed returns the part of the data that may be forwarded, and whether it is
// the last one before the pair is cut.
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

// send writes data at the throughput of the shape. It returns false if the pair
// is cut or the receiver is gone.
func (c *pair) send(d Direction, to net.Conn, data []byte) bool {
	for len(data) > 0 {
		s, _ := c.shape(d)
		n := len(data)
		if s.BytesPerSecond > 0 {
			// Writing the bytes of 10 ms at a time keeps the throughput even.
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

// pause waits for a duration. It returns false if the pair is cut meanwhile.
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
