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

// connection is a client's TCP connection. Its owner is the call that uses it, or the pool while it is idle.
type connection struct {
	*net.TCPConn
	raw         syscall.RawConn
	reader      *bufio.Reader
	addr        string        // as the caller named it, not a dial override
	idleSince   time.Duration // on the client's clock; of the last use while in use
	idleElement *list.Element // of the pool's idleByAge; nil while in use
}

// reset closes at once: bytes that are not sent or acknowledged are discarded, the peer receives a reset.
func (c *connection) reset() {
	_ = c.SetLinger(0) // without it the close is an ordinary one
	_ = c.Close()      // nothing on it counts any more
}

// write hands b to the kernel directly, calling check immediately before each write(2); sent counts the bytes that the
// kernel took.
func (c *connection) write(b []byte, sent *int, check func() error) error {
	var writeErr error
	err := c.raw.Write(func(fd uintptr) bool {
		for *sent < len(b) {
			if writeErr = check(); writeErr != nil {
				return true
			}
			n, err := unix.Write(int(fd), b[*sent:])
			switch {
			case err == unix.EAGAIN:
				return false // wait until the socket takes more
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

// alive reports whether an idle connection is still open with nothing to be read.
func (c *connection) alive() bool {
	open := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open && c.reader.Buffered() == 0
}

// readHead reads the head of the final response; interim ones (1xx) are skipped.
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
