package rpc

import "golang.org/x/sys/unix"

// countSent counts bytes that the socket has accepted, and reserves memory for those that the peer has not
// acknowledged. The kernel is queried only once they may be more than socketBytes. It returns the reason why they
// cannot be buffered, or nil.
func (c *serverConn) countSent(n int) *refusal {
	if c.sinceAsked.Add(int64(n)) <= socketBytes {
		return nil
	}
	return c.updateInSocket()
}

// updateInSocket sets the reservation for the bytes in the socket to what the kernel reports. It returns the reason why
// they cannot be buffered, or nil.
func (c *serverConn) updateInSocket() *refusal {
	unacknowledged := int64(0)
	withDescriptor(c.Conn, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			unacknowledged = int64(n)
		}
	})
	c.sinceAsked.Store(unacknowledged)
	if unacknowledged <= socketBytes {
		unacknowledged = 0
	}
	if !c.reserveInSocket(unacknowledged) {
		return &outOfMemory
	}
	return nil
}

// reserveInSocket changes the reservation for the bytes in the socket to n, and reports whether there was room.
func (c *serverConn) reserveInSocket(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	change := n - c.inSocket
	switch {
	case c.isClosed:
		return false
	case change > 0 && !c.server.opt.Memory.reserve(change, c.reserved+change):
		return false
	case change < 0:
		c.server.opt.Memory.release(-change)
	}
	c.reserved += change
	c.inSocket = n
	return true
}
