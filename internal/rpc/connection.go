package rpc

import (
	"bufio"
	"container/list"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// connection is a client's TCP connection. Its owner is the call that uses it; while it is idle, the pool.
type connection struct {
	*net.TCPConn
	raw         syscall.RawConn
	reader      *bufio.Reader
	addr        string        // as the caller named it, before dial overrides
	idleSince   time.Duration // on the client's clock; valid while idle
	idleElement *list.Element // of the pool's idleByAge; nil while in use
}

// reset closes the connection at once: unacknowledged bytes are discarded, and the peer receives a reset. It may
// be called at any time by any goroutine, and makes the call that uses the connection fail.
func (c *connection) reset() {
	_ = c.SetLinger(0) // if it fails, Close closes without a reset
	_ = c.Close()      // the connection is not used again, so an error does not matter
}

// write writes data to the socket without buffering. It calls check right before each write(2) and stops if check
// returns an error. Even if it fails, it adds to sent the bytes that the kernel accepted.
func (c *connection) write(data []byte, sent *int, check func() error) error {
	var writeErr error
	err := c.raw.Write(func(fd uintptr) bool {
		for *sent < len(data) {
			if writeErr = check(); writeErr != nil {
				return true
			}
			n, err := unix.Write(int(fd), data[*sent:])
			switch {
			case err == unix.EAGAIN:
				return false // called again once the socket is writable
			case err == unix.EINTR:
			case err != nil:
				writeErr = err
				return true
			default:
				*sent += n
			}
		}
		return true
	})
	if writeErr == nil {
		writeErr = err
	}
	return errs.Wrap(writeErr, errs.Unavailable, "write")
}

// alive reports whether an idle connection is open and has no bytes to read: the peer has neither closed it nor sent
// anything without a request.
func (c *connection) alive() bool {
	open := false
	err := c.raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open && c.reader.Buffered() == 0
}

// readHead reads the head of the response and skips interim responses (1xx except 101). The caller reads the body from
// the result.
func (c *connection) readHead(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errs.Wrap(err, errs.Unavailable, "response")
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}
