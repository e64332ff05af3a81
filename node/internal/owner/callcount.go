package owner

// callCount counts calls. It is not safe for concurrent use. The zero value counts
// none.
type callCount struct {
	calls int
	// none is closed when no call is left. It is nil until whenNone is called.
	none chan struct{}
}

func (c *callCount) add() { c.calls++ }

func (c *callCount) done() {
	c.calls--
	c.notify()
}

// whenNone returns a channel that is closed when no call is left.
func (c *callCount) whenNone() <-chan struct{} {
	if c.none == nil {
		c.none = make(chan struct{})
	}
	none := c.none
	c.notify()
	return none
}

func (c *callCount) notify() {
	if c.calls == 0 && c.none != nil {
		close(c.none)
		c.none = nil
	}
}
