package connlimit

// This file lets connections wait for room in the order in which they ask.

// Wait lets the connection wait for room. The returned channel is closed when it may ask
// again; EndWait must be called then, or when it no longer waits.
func (c *Conn) Wait() <-chan struct{} {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.room = make(chan struct{})
	if c.gone.Load() || c.Reason() != ReasonNone {
		close(c.room)
		return c.room
	}
	c.waiting.Store(true)
	c.account.queue = append(c.account.queue, c)
	c.account.waiting.Store(int32(len(c.account.queue)))
	return c.room
}

// EndWait says that the connection no longer waits for room.
func (c *Conn) EndWait() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.leaveQueue(c)
}

// leaveQueue removes a connection from the queue if it is there. The caller holds a.mu.
func (a *Account) leaveQueue(c *Conn) {
	if !c.waiting.Swap(false) {
		return
	}
	for n, waiting := range a.queue {
		if waiting == c {
			a.queue = append(a.queue[:n], a.queue[n+1:]...)
			break
		}
	}
	a.waiting.Store(int32(len(a.queue)))
	close(c.room)
}

// grantRoom lets as many connections ask again as there is room for. The caller holds a.mu.
func (a *Account) grantRoom() {
	granted := 0
	for granted < len(a.queue) && a.fits(int64(granted+1)*FreeHead*headFactor, largePercent) {
		c := a.queue[granted]
		c.waiting.Store(false)
		close(c.room)
		granted++
	}
	a.queue = append(a.queue[:0], a.queue[granted:]...)
	a.waiting.Store(int32(len(a.queue)))
}
